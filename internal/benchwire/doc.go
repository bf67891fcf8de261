// Package benchwire speaks the simulator's line protocol for any number of instances of the decision module. It only
// translates: each instance is a logic.Driver of its own, and nothing is shared between them but membership lists.
//
// # The protocol
//
// Input is a sequence of batches: TURN, events one a line, END. A line is a name and name=value pairs. The values of
// 'setup' and 'line' are text and reach to the line's end. TARGET_INSTANCE names the instance that the following events
// are for. LIST and its ENTRY lines give a membership list a number, by which TARGETS refers to it; a number may be
// given anew. Lines of other names are ignored: the protocol grows.
//
// Output for each batch is FOR and the actions for each instance that has any, in order of the instances' first events,
// and END with the batch's serial. A panic of the module is reported by the action PANIC.
//
// The protocol counts microseconds, the module milliseconds.
package benchwire
