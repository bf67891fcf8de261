package durable

// This file implements recovery: it decides which files of a folder are valid, and up to which record. It changes no
// file, and returns no record without all records that precede it.

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
)

// Recovered is the content of a folder: a snapshot and the records that followed it, up to the last complete one.
type Recovered struct {
	Snapshot []byte // nil for none
	Records  [][]byte
	Seq      uint64 // of the last record
	Files    []FileReport
	// Fallback reports that the newest snapshot was unreadable and an older one was used, with its log.
	Fallback bool
	// RecordsLost reports that records that once existed could not be recovered.
	RecordsLost      bool
	newestGeneration uint64 // of all files, readable or not
}

// FileReport describes the condition of one file.
type FileReport struct {
	Name       string
	Generation uint64
	Snapshot   bool // a log otherwise
	Bytes      int64
	Seq        uint64 // of the last record that the file covers
	Records    int
	Tail       int64 // bytes after the last complete record
	Err        error // why it is unreadable; nil if it only has a tail
}

// Damage returns an error for each unreadable file and each log with an incomplete tail. A crash during a write leaves
// a tail; an unreadable file is damaged.
func (r *Recovered) Damage() (errs []error) {
	for _, f := range r.Files {
		if f.Err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", f.Name, f.Err))
		} else if f.Tail > 0 {
			errs = append(errs, fmt.Errorf("%s: %d bytes after the last complete record", f.Name, f.Tail))
		}
	}
	return errs
}

// Recover reads a folder without locking or changing it. It returns only errors of the file system: damage is reported
// in the result, and a missing folder counts as empty.
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

// recovery reads one folder.
type recovery struct {
	files   FS
	options Options
	// snapshots and logs hold the generations that have a file of the kind.
	snapshots, logs map[uint64]bool
	result          Recovered
}

// sort records which generations have a snapshot and which have a log.
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

// read loads the newest readable snapshot, with the records that follow it.
func (r *recovery) read() Recovered {
	generations := slices.Sorted(maps.Keys(r.snapshots))
	slices.Reverse(generations)
	for i, generation := range generations {
		state, report := r.readSnapshot(generation)
		r.result.Files = append(r.result.Files, report)
		if report.Err == nil && r.result.Snapshot == nil {
			r.result.Snapshot, r.result.Seq, r.result.Fallback = nonNil(state), report.Seq, i > 0
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
	content, err := r.files.ReadFile(filepath.Join(r.options.Folder, report.Name), r.options.Limit)
	report.Bytes = int64(len(content))
	if err == nil {
		state, report.Seq, err = decodeSnapshot(r.options.Tag, generation, content, r.options.Limit)
	}
	report.Err = err
	return state, report
}

func nonNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}

// replay adds the records after a snapshot: those of its own log and, while each log starts where the previous one
// ended, those of newer generations whose snapshots were unreadable.
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

// readLog adds the records of a log, which must start where the records read so far end.
func (r *recovery) readLog(generation uint64) FileReport {
	report := FileReport{Name: logName(generation), Generation: generation}
	content, err := r.files.ReadFile(filepath.Join(r.options.Folder, report.Name), r.options.Limit)
	report.Bytes = int64(len(content))
	if err == nil {
		err = r.checkLogHeader(generation, content)
	}
	if err != nil {
		report.Err = err
		return report
	}
	rest := content[headerBytes:]
	for {
		record, remaining, ok := nextFrame(rest, r.result.Seq+1)
		if !ok {
			break
		}
		r.result.Seq++
		report.Records++
		r.result.Records, rest = append(r.result.Records, record), remaining
	}
	report.Seq, report.Tail = r.result.Seq, int64(len(rest))
	return report
}

func (r *recovery) checkLogHeader(generation uint64, content []byte) error {
	from, _, err := decodeHeader(logFile, r.options.Tag, generation, content)
	if err == nil && from != r.result.Seq {
		err = fmt.Errorf("starts at %d, not %d: %w", from, r.result.Seq, ErrDamaged)
	}
	return err
}
