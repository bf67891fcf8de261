// Package opening translates the settings object that the platform passes to every driver at its start into the
// decision module's opening event. Both hosts of the module use it: the simulator's protocol (internal/benchwire) and
// the driver on sockets (internal/driver). It only translates and has no defaults of its own.
//
// [Parse] decodes the object into setup, whose fields are named like the settings, and looks each keyword up in a table
// of the protocol's keywords. Times are microseconds in settings, milliseconds in the module. Unknown keys are skipped,
// as platforms may add some; an unknown keyword is an error that names its setting.
package opening
