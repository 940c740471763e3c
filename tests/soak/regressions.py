"""Seeds that failed with 15 s of faults, and the defect that each one found."""

REGRESSIONS = {
    101: "the check reported a stop as too slow although the process was paused during it",
    104: "a reload signal killed the starting process; a response came after the deadline",
    105: "no response within the deadline while the VM's server was silent",
    106: "the check reported a stop of the starting process as an unexpected exit",
    108: "no response within the deadline while the VM's server was silent",
    111: "no response within the deadline while the VM's server was silent",
    202: "a reload signal killed the starting process",
    3062: "limits that servers no longer named were kept",
    3063: "limits that servers no longer named were kept",
    3095: "the end of one evacuation ended another one of the same zone in the store",
    3133: "requests from other regions used up a limit and did not end it",
    3195: "the soak ended a server that another fault had already chosen to leave",
    33002: "the second copy of a refusal was taken for that of a retry, which ran",
    33004: "the same, and an old heartbeat brought a server back that had left",
    70029: "a VM that stopped read nothing more of a body that was still arriving",
}
