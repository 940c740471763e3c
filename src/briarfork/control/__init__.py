"""The control process: configuration, membership and load view of one VM."""
