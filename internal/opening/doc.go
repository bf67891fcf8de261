// Package opening translates the settings object that the platform gives every driver at its start into the decision
// module's opening event. Both hosts of the module use it, the simulator's wire (internal/benchwire) and the driver on
// sockets. It only translates: no figure originates here.
//
// [Parse] decodes the object into setup, whose fields are named as the settings are, and looks each word up in a table
// of the wire's. Settings count microseconds, the module milliseconds. Unknown keys are skipped, as platforms may add
// some; an unknown word is an error that names its setting.
package opening
