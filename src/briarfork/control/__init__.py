"""The control process, which maintains the configuration, membership and load view of a VM."""
