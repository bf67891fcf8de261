package durable

// This file owns the form of files: names, heads, frames and checksums. It must never touch a file, allocate by a
// length that it has not checked, or give out a byte that no checksum covers.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"github.com/klauspost/compress/zstd"
)

// Version is the form of files that this build writes and the only one that it reads.
const Version = 1

const (
	magic     = "WWDB"
	tagBytes  = 4
	headBytes = 4 + 2 + 2 + tagBytes + 8 + 8 + 8 + 4 // magic, version, kind, tag, generation, seq, length, CRC
	frameHead = 4 + 8 + 4                            // length, seq, CRC
)

type fileKind uint16

const (
	other fileKind = iota
	snapshotFile
	logFile
)

// Errors of files that can't be read.
var (
	ErrDamaged = errors.New("damaged")
	ErrVersion = errors.New("of another version")
	ErrTag     = errors.New("of another kind of state")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func snapshotName(n uint64) string { return fmt.Sprintf("%016x.snapshot", n) }
func logName(n uint64) string      { return fmt.Sprintf("%016x.log", n) }

// parseName tells a file's generation and kind.
func parseName(name string) (uint64, fileKind) {
	stem, ext, _ := strings.Cut(name, ".")
	n, err := strconv.ParseUint(stem, 16, 64)
	switch {
	case err != nil || len(stem) != 16 || n == 0:
	case ext == "snapshot":
		return n, snapshotFile
	case ext == "log":
		return n, logFile
	}
	return 0, other
}

func encodeHead(kind fileKind, tag string, generation, seq, length uint64) []byte {
	b := append(make([]byte, 0, headBytes), magic...)
	b = binary.BigEndian.AppendUint16(b, Version)
	b = binary.BigEndian.AppendUint16(b, uint16(kind))
	b = append(b, tag...)
	b = binary.BigEndian.AppendUint64(b, generation)
	b = binary.BigEndian.AppendUint64(b, seq)
	b = binary.BigEndian.AppendUint64(b, length)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeHead reads a head and checks all of it; the version goes before the checksum, whose place may differ in
// a version yet to come.
func decodeHead(kind fileKind, tag string, generation uint64, b []byte) (seq, length uint64, err error) {
	if len(b) < headBytes || string(b[:4]) != magic {
		return 0, 0, fmt.Errorf("head: %w", ErrDamaged)
	}
	body, sum := b[:headBytes-4], binary.BigEndian.Uint32(b[headBytes-4:])
	whole := crc32.Checksum(body, castagnoli) == sum
	if v := binary.BigEndian.Uint16(b[4:]); v != Version {
		if v > Version || whole {
			return 0, 0, fmt.Errorf("version %d: %w", v, ErrVersion)
		}
		return 0, 0, fmt.Errorf("head: %w", ErrDamaged)
	}
	if !whole {
		return 0, 0, fmt.Errorf("head: %w", ErrDamaged)
	}
	if string(b[8:8+tagBytes]) != tag {
		return 0, 0, fmt.Errorf("tag %q: %w", b[8:8+tagBytes], ErrTag)
	}
	rest := b[8+tagBytes:]
	if fileKind(binary.BigEndian.Uint16(b[6:])) != kind || binary.BigEndian.Uint64(rest) != generation {
		return 0, 0, fmt.Errorf("head is another file's: %w", ErrDamaged)
	}
	return binary.BigEndian.Uint64(rest[8:]), binary.BigEndian.Uint64(rest[16:]), nil
}

// encodeSnapshot packs a state. The head's length is that of the packed body, which its own checksum follows.
func encodeSnapshot(tag string, generation, seq uint64, state []byte) []byte {
	pack, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(zstd.MinWindowSize<<8))
	if err != nil {
		panic(err) // the options are constants
	}
	defer func() { _ = pack.Close() }() // frees its memory
	body := pack.EncodeAll(state, nil)
	b := append(encodeHead(snapshotFile, tag, generation, seq, uint64(len(body))), body...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
}

// decodeSnapshot gives the state and the sequence number up to which it holds everything. Unpacked it may be so
// many bytes long as eight times the limit.
func decodeSnapshot(tag string, generation uint64, b []byte, limit int64) (state []byte, seq uint64, err error) {
	seq, length, err := decodeHead(snapshotFile, tag, generation, b)
	if err != nil {
		return nil, 0, err
	}
	if rest := uint64(len(b) - headBytes); rest < 4 || length != rest-4 {
		return nil, 0, fmt.Errorf("%d bytes of %d: %w", rest, length, ErrDamaged)
	}
	body := b[headBytes : len(b)-4]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[len(b)-4:]) {
		return nil, 0, fmt.Errorf("body: %w", ErrDamaged)
	}
	unpack, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(8*limit)))
	if err != nil {
		return nil, 0, err
	}
	defer unpack.Close()
	if state, err = unpack.DecodeAll(body, nil); err != nil {
		return nil, 0, fmt.Errorf("body: %w: %w", err, ErrDamaged)
	}
	return state, seq, nil
}

func encodeLogHead(tag string, generation, seq uint64) []byte {
	return encodeHead(logFile, tag, generation, seq, 0)
}

func appendFrame(b []byte, seq uint64, record []byte) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(record)))
	b = binary.BigEndian.AppendUint64(b, seq)
	sum := crc32.Update(crc32.Checksum(b[at:], castagnoli), castagnoli, record)
	b = binary.BigEndian.AppendUint32(b, sum)
	return append(b, record...)
}

// nextFrame takes the first frame off, which must carry the sequence number. ok is false where no whole one is.
func nextFrame(b []byte, seq uint64) (record, rest []byte, ok bool) {
	if len(b) < frameHead {
		return nil, b, false
	}
	n := binary.BigEndian.Uint32(b)
	if n > maxRecord || int(n) > len(b)-frameHead || binary.BigEndian.Uint64(b[4:]) != seq {
		return nil, b, false
	}
	record = b[frameHead : frameHead+int(n)]
	sum := crc32.Update(crc32.Checksum(b[:12], castagnoli), castagnoli, record)
	if sum != binary.BigEndian.Uint32(b[12:]) {
		return nil, b, false
	}
	return record, b[frameHead+int(n):], true
}
