// Package benchwire serves the line protocol of an external simulator for any number of instances of the decision
// module (package logic). It only translates: each instance is a logic.Driver of its own, and instances share nothing
// but membership lists.
//
// # The protocol
//
// Input is a sequence of batches: TURN, one event per line, END. A line is a name and key=value pairs. The values of
// 'setup' and 'line' are text that extends to the end of the line. TARGET_INSTANCE selects the instance that the
// following events are for. LIST and its ENTRY lines define a membership list under a number, by which TARGETS refers
// to it; a number may be redefined. Lines with unknown names are ignored, so that the protocol can be extended.
//
// The output for a batch is, for each instance with actions, FOR and one line per action, in the order of the
// instances' first events, followed by END with the serial of the batch. A panic of the module is reported as the
// action PANIC.
//
// Times are in microseconds in the protocol, in milliseconds in the module.
package benchwire
