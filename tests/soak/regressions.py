"""Seeds that have failed, with what they found; 15 s of faults each."""

REGRESSIONS = {
    101: "the check took a stop during which the program was paused for one that was too long",
    104: "a reload signal ended the program while it started; an answer came after the deadline",
    105: "a caller at a VM whose server was silent got no answer within its deadline",
    106: "the check took a stop before the program had started for an end by itself",
    108: "a caller at a VM whose server was silent got no answer within its deadline",
    111: "a caller at a VM whose server was silent got no answer within its deadline",
    202: "a reload signal ended the program while it started",
}
