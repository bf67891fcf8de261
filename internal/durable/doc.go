// Package durable keeps one state on disk, as snapshots and logs of records, so that after a crash at any moment a
// consistent state is recovered. It doesn't interpret records, reads no clock, and does not retry after an error.
//
// # Generations
//
// A folder holds up to two generations. Generation n consists of a snapshot, which covers all records up to its
// sequence number, and a log of the records that follow. Compact begins a new generation with a new snapshot. The
// previous generation is kept, so that an unreadable snapshot loses nothing while the previous snapshot and log are
// readable. Every file is created by renaming a complete, synced temporary file.
//
// # Guarantees
//
// Every record for which Append has returned is recovered after a crash of the process, or of a machine whose disk
// preserves synced data. The recovered state was the store's state at some moment: a snapshot and the records that
// followed it, up to some sequence number, without gaps. Recovered.RecordsLost reports that records that once existed
// could not be recovered.
//
// # Group commit
//
// Concurrent callers of Append share one write and sync: records that arrive while others are being written go into the
// next batch. After a file system error the Store accepts no records until Compact has begun a new generation, because
// the contents of the log are unknown after the error.
//
// Latest is a simple store that keeps only the newest value. FS is the interface of the file system, which lets tests
// crash it at every operation.
package durable
