package durable

// This file owns recovery: which files of a folder are believed, and how far. It must never change a file, and
// never give out a record whose predecessors it does not have.

import (
	"cmp"
	"errors"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
)

// Recovered is what a folder holds: a snapshot and the records that followed it, up to the last whole one.
type Recovered struct {
	Snapshot []byte // nil where there is none
	Records  [][]byte
	Seq      uint64 // of the last record
	Files    []FileReport
	// Fallback: the newest snapshot could not be read, and the one before it was taken, with its log.
	Fallback bool
	// Lost: records that are known to have been there could not be recovered.
	RecordsLost bool
	newest      uint64 // the highest generation of which there is a file, readable or not
}

// FileReport says how one file was found.
type FileReport struct {
	Name       string
	Generation uint64
	Snapshot   bool
	Bytes      int64
	Seq        uint64 // up to which it holds everything
	Records    int
	Tail       int64 // bytes behind the last whole record
	Err        error // why it could not be read; a tail alone is none
}

// Damaged says whether any file could not be read or broke off: a crash in the middle of a write leaves a tail,
// anything else is damage.
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

// Recover reads a folder without locking or changing it. The error is of the file system; damage is told in what
// is returned, and a folder that is missing is an empty one.
func Recover(files FS, o Options) (r Recovered, err error) {
	if o.Limit == 0 {
		o.Limit = defaultLimit
	}
	names, err := files.List(o.Folder)
	if errors.Is(err, fs.ErrNotExist) {
		return r, nil
	} else if err != nil {
		return r, err
	}
	snapshots, logs := map[uint64]bool{}, map[uint64]bool{}
	for _, name := range names {
		switch n, kind := parseName(name); kind {
		case snapshotFile:
			snapshots[n] = true
			r.newest = max(r.newest, n)
		case logFile:
			logs[n] = true
			r.newest = max(r.newest, n)
		}
	}
	order := make([]uint64, 0, len(snapshots))
	for n := range snapshots {
		order = append(order, n)
	}
	slices.SortFunc(order, func(a, b uint64) int { return cmp.Compare(b, a) })
	for i, n := range order {
		report := FileReport{Name: snapshotName(n), Generation: n, Snapshot: true}
		text, err := files.ReadFile(filepath.Join(o.Folder, report.Name), o.Limit)
		if report.Bytes = int64(len(text)); err == nil {
			var state []byte
			if state, report.Seq, err = decodeSnapshot(o.Tag, n, text, o.Limit); err == nil && r.Snapshot == nil {
				r.Snapshot, r.Seq, r.Fallback = notNil(state), report.Seq, i > 0
				r.Files = append(r.Files, report)
				r.replay(files, o, n, logs)
				continue
			}
		}
		report.Err = err
		r.Files = append(r.Files, report)
	}
	if r.Snapshot == nil {
		r.RecordsLost = len(snapshots)+len(logs) > 0
	}
	return r, nil
}

func notNil(b []byte) []byte {
	if b == nil {
		return []byte{}
	}
	return b
}

// replay adds the records behind snapshot n: of its own log and, while each log starts where the one before it
// ended, of those behind it, whose snapshots could not be read.
func (r *Recovered) replay(files FS, o Options, n uint64, logs map[uint64]bool) {
	for g := n; g <= r.newest; g++ {
		if !logs[g] {
			if g < r.newest && g > n {
				r.RecordsLost = true
			}
			continue
		}
		report := FileReport{Name: logName(g), Generation: g}
		text, err := files.ReadFile(filepath.Join(o.Folder, report.Name), o.Limit)
		report.Bytes = int64(len(text))
		if err == nil {
			var from uint64
			if from, _, err = decodeHead(logFile, o.Tag, g, text); err == nil && from != r.Seq {
				err = fmt.Errorf("starts at %d, not %d: %w", from, r.Seq, ErrDamaged)
			}
		}
		if report.Err = err; err != nil {
			r.RecordsLost = true
			r.Files = append(r.Files, report)
			return
		}
		rest := text[headBytes:]
		for {
			record, behind, ok := nextFrame(rest, r.Seq+1)
			if !ok {
				break
			}
			r.Seq++
			report.Records++
			r.Records, rest = append(r.Records, record), behind
		}
		report.Seq, report.Tail = r.Seq, int64(len(rest))
		r.Files = append(r.Files, report)
	}
}
