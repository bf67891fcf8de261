// Package durable keeps one state on disk, as snapshots and logs of records, so that a crash at any moment leaves a
// state that was true. It knows nothing of what records mean, reads no clock, and does not retry after an error.
//
// # Generations
//
// A folder holds up to two generations. Generation n is a snapshot, which holds everything up to its sequence number,
// and a log of the records that followed. Compact begins a new generation by a new snapshot. The one before it is
// kept, so a snapshot that can't be read costs nothing as long as the log before it can be. Every file appears by a
// rename of a file that is complete and synced.
//
// # Guarantees
//
// Every record for which Append has returned is recovered after a crash of the process, or of a machine whose disk
// keeps what it has synced. What is recovered is a state that was true at some moment: a snapshot and the records that
// followed it, up to some sequence number, without gaps. Recovered.RecordsLost says that records known to have been
// there could not be recovered.
//
// # Group commit
//
// Callers of Append that arrive while another's records are being written share the next write and sync. After an
// error of the file system the Store takes no records until Compact has begun a new generation: what the error left in
// the log is not known.
//
// Latest is the simplest use: only the newest value counts. FS is the file system as the package needs it, so that
// tests can crash it at every operation.
package durable
