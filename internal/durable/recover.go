package durable

// This file owns recovery: which files of a folder are trusted, and how far. It must never change a file, and never
// return a record without all that precede it.

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
)

// Recovered is what a folder holds: a snapshot and the records that followed it, up to the last complete one.
type Recovered struct {
	Snapshot []byte // nil for none
	Records  [][]byte
	Seq      uint64 // of the last record
	Files    []FileReport
	// Fallback: the newest snapshot could not be read, and the one before it was taken, with its log.
	Fallback bool
	// RecordsLost: records that are known to have been there could not be recovered.
	RecordsLost      bool
	newestGeneration uint64 // of which there is a file, readable or not
}

// FileReport says how one file was found.
type FileReport struct {
	Name       string
	Generation uint64
	Snapshot   bool // else a log
	Bytes      int64
	Seq        uint64 // up to which it holds everything
	Records    int
	Tail       int64 // bytes behind the last complete record
	Err        error // why it could not be read; a tail alone is none
}

// Damage lists the files that could not be read or broke off. A crash during a write leaves a tail; anything else is
// damage.
func (r *Recovered) Damage() (errs []error) {
	for _, f := range r.Files {
		if f.Err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", f.Name, f.Err))
		} else if f.Tail > 0 {
			errs = append(errs, fmt.Errorf("%s: %d bytes behind the last whole record", f.Name, f.Tail))
		}
	}
	return errs
}

// Recover reads a folder without locking or changing it. The error is the file system's: damage is reported in the
// result, and a folder that is missing is an empty one.
func Recover(files FS, options Options) (r Recovered, err error) {
	if options.Limit == 0 {
		options.Limit = defaultLimit
	}
	names, err := files.List(options.Folder)
	if errors.Is(err, fs.ErrNotExist) {
		return r, nil
	} else if err != nil {
		return r, err
	}
	reading := recovery{files: files, options: options, snapshots: map[uint64]bool{}, logs: map[uint64]bool{}}
	reading.sort(names)
	return reading.read(), nil
}

// recovery is the reading of one folder.
type recovery struct {
	files   FS
	options Options
	// snapshots and logs are the generations of which there is such a file.
	snapshots, logs map[uint64]bool
	result          Recovered
}

// sort sorts a folder's files by their kinds.
func (r *recovery) sort(names []string) {
	for _, name := range names {
		generation, kind := parseName(name)
		switch kind {
		case snapshotFile:
			r.snapshots[generation] = true
		case logFile:
			r.logs[generation] = true
		default:
			continue
		}
		r.result.newestGeneration = max(r.result.newestGeneration, generation)
	}
}

// read takes the newest snapshot that can be read, with the records behind it.
func (r *recovery) read() Recovered {
	generations := slices.Sorted(maps.Keys(r.snapshots))
	slices.Reverse(generations)
	for i, generation := range generations {
		state, report := r.readSnapshot(generation)
		r.result.Files = append(r.result.Files, report)
		if report.Err == nil && r.result.Snapshot == nil {
			r.result.Snapshot, r.result.Seq, r.result.Fallback = notNil(state), report.Seq, i > 0
			r.replay(generation)
		}
	}
	if r.result.Snapshot == nil {
		r.result.RecordsLost = len(r.snapshots)+len(r.logs) > 0
	}
	return r.result
}

func (r *recovery) readSnapshot(generation uint64) (state []byte, report FileReport) {
	report = FileReport{Name: snapshotName(generation), Generation: generation, Snapshot: true}
	text, err := r.files.ReadFile(filepath.Join(r.options.Folder, report.Name), r.options.Limit)
	report.Bytes = int64(len(text))
	if err == nil {
		state, report.Seq, err = decodeSnapshot(r.options.Tag, generation, text, r.options.Limit)
	}
	report.Err = err
	return state, report
}

func notNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}

// replay adds the records behind a snapshot: those of its own log and, while each log starts where the one before it
// ended, those of newer generations whose snapshots could not be read.
func (r *recovery) replay(snapshot uint64) {
	newest := r.result.newestGeneration
	for generation := snapshot; generation <= newest; generation++ {
		if !r.logs[generation] {
			if snapshot < generation && generation < newest {
				r.result.RecordsLost = true
			}
			continue
		}
		report := r.readLog(generation)
		r.result.Files = append(r.result.Files, report)
		if report.Err != nil {
			r.result.RecordsLost = true
			return
		}
	}
}

// readLog adds the records of a log that starts where the records so far end.
func (r *recovery) readLog(generation uint64) FileReport {
	report := FileReport{Name: logName(generation), Generation: generation}
	text, err := r.files.ReadFile(filepath.Join(r.options.Folder, report.Name), r.options.Limit)
	report.Bytes = int64(len(text))
	if err == nil {
		err = r.checkLogHeader(generation, text)
	}
	if err != nil {
		report.Err = err
		return report
	}
	rest := text[headerBytes:]
	for {
		record, behind, ok := nextFrame(rest, r.result.Seq+1)
		if !ok {
			break
		}
		r.result.Seq++
		report.Records++
		r.result.Records, rest = append(r.result.Records, record), behind
	}
	report.Seq, report.Tail = r.result.Seq, int64(len(rest))
	return report
}

func (r *recovery) checkLogHeader(generation uint64, text []byte) error {
	from, _, err := decodeHeader(logFile, r.options.Tag, generation, text)
	if err == nil && from != r.result.Seq {
		err = fmt.Errorf("starts at %d, not %d: %w", from, r.result.Seq, ErrDamaged)
	}
	return err
}
