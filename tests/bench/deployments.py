"""Deployments of examples/ with their service mix, scaled down to one of three regions.

The number of servers and the offered load are a third of the deployment; slots, run times, service
mix and the 12 entry VMs are unchanged. The examples contain no run times, so the mean run times are
defined here.
"""

from __future__ import annotations

from dataclasses import dataclass

from briarfork.registry import Registry
from tests.cluster import Pool

SCALE = "1/3"
ENTRY_VMS_PER_ZONE = 6
DOWNLOAD_BYTES = 1_000_000
DOWNLOAD_RATE_BYTES_S = 2_000_000
DOWNLOAD_MS = 1000.0 * DOWNLOAD_BYTES / DOWNLOAD_RATE_BYTES_S
RATE_OPTIONS = ("--rate-bytes-s", str(DOWNLOAD_RATE_BYTES_S))


@dataclass(frozen=True, slots=True)
class Workload:
    """Servers of one service and the requests that callers send to it.

    Attributes:
        service: Name of the service.
        servers_per_site: Number of servers at each of the two sites.
        slots: Slots of each server.
        run_ms: Mean run time in milliseconds.
        load: Average share of slots in use.
        method: HTTP method.
        path: Path of the requests.
        deadline_s: Time limit of the caller in seconds.
        download_bytes: Size of the download, whose run time follows from the rate of the server;
            0 for other requests.
    """

    service: str
    servers_per_site: int
    slots: int
    run_ms: float
    load: float = 0.8
    method: str = "GET"
    path: str = "/item"
    deadline_s: float = 5.0
    download_bytes: int = 0

    @property
    def total_slots(self) -> int:
        return 2 * self.servers_per_site * self.slots

    @property
    def rate(self) -> float:
        return self.load * self.total_slots / (self.run_ms / 1000.0)


@dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment of examples/ and its region that is benchmarked.

    Attributes:
        name: Name of the example.
        zones: Zones of the region.
        workloads: Workloads of the deployment.
        short: Short requests of the comparison with saturating downloads.
        downloads: Downloads of that comparison.
    """

    name: str
    zones: tuple[str, str]
    workloads: tuple[Workload, ...]
    short: tuple[Workload, ...]
    downloads: tuple[Workload, ...]

    def list_pools(self) -> list[Pool]:
        return [
            Pool(
                workload.service,
                zone,
                workload.servers_per_site,
                workload.slots,
                workload.run_ms,
                RATE_OPTIONS,
            )
            for zone in self.zones
            for workload in self.workloads
        ]


def build_download(service: str, prefix: str) -> Workload:
    """Returns a download workload that offers 1.2 times the capacity of all slots."""
    path = f"{prefix}/item?bytes={DOWNLOAD_BYTES}"
    return Workload(
        service, 2, 3, DOWNLOAD_MS, 1.2, path=path, deadline_s=3.0, download_bytes=DOWNLOAD_BYTES
    )


DEPLOYMENTS: Registry[Deployment] = Registry("deployment")

DEPLOYMENTS.register("estonia")(
    Deployment(
        "estonia",
        ("north-a", "north-b"),
        (
            Workload("results", 3, 3, 60.0, deadline_s=2.0),
            Workload("scoring", 2, 3, 100.0, method="POST"),
            Workload("schedule", 2, 3, 80.0, method="POST"),
            Workload("archive", 2, 3, 1000.0, load=0.6, path="/drawings", deadline_s=30.0),
        ),
        # Downloads occupy two of three slots; short requests use 60% of the remaining slots.
        short=(
            Workload("results", 3, 3, 60.0, deadline_s=2.0),
            Workload("scoring", 2, 3, 100.0, load=0.2, method="POST"),
        ),
        downloads=(build_download("scoring", "/videos"), build_download("archive", "/drawings")),
    )
)
DEPLOYMENTS.register("chile")(
    Deployment(
        "chile",
        ("far-north-a", "far-north-b"),
        (
            # 20 servers in three regions; a third of them is rounded down to 3 servers per site.
            Workload("hearing-status", 3, 9, 150.0, deadline_s=2.0),
            Workload("ordering", 2, 8, 200.0, method="POST"),
            Workload("transcripts", 2, 3, 100.0),
            Workload("recordings", 2, 3, 1000.0, load=0.6, path="/recordings", deadline_s=30.0),
        ),
        short=(Workload("hearing-status", 3, 9, 150.0, deadline_s=2.0),),
        downloads=(build_download("recordings", "/recordings"),),
    )
)
