// Package agreement decides which configuration a control group is founded with, although some of the
// voters that its settings name may never come. It is single-decree Paxos whose acceptors are the voters of
// the settings: a proposer collects promises, takes over the value accepted in the highest ballot, if any,
// and has it accepted. It performs no I/O; callers store the state of an Acceptor, synced, before they send
// an answer.
//
// A voter that lost its disk has forgotten its promises. Therefore only initial voters count towards a
// majority: those whose data folder was created by the first start of the group. Two majorities of initial
// voters share a voter with the same folder, however many disks were lost in between. All voters together
// are a quorum as well, whatever their folders: such a quorum misses an earlier decision only if every
// voter that had accepted it lost its disk, and these were a majority.
package agreement
