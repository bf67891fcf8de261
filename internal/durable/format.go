package durable

// This file defines the file format: names, headers, frames and checksums. It does no I/O, allocates nothing by an
// unchecked length, and returns no byte that isn't covered by a checksum.

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"

	"github.com/klauspost/compress/zstd"
)

// Version is the version of the files that this build writes; it reads no other version.
const Version = 1

const (
	magic            = "WWDB"
	tagBytes         = 4
	headerBytes      = 4 + 2 + 2 + tagBytes + 8 + 8 + 8 + 4 // magic, version, kind, tag, generation, seq, length, CRC
	frameHeaderBytes = 4 + 8 + 4                            // length, seq, CRC
)

type fileKind uint16

const (
	otherFile fileKind = iota
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

func snapshotName(generation uint64) string { return fmt.Sprintf("%016x.snapshot", generation) }
func logName(generation uint64) string      { return fmt.Sprintf("%016x.log", generation) }

// parseName returns the generation and the kind of a file.
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
	return 0, otherFile
}

func encodeHeader(kind fileKind, tag string, generation, seq, length uint64) []byte {
	b := append(make([]byte, 0, headerBytes), magic...)
	b = binary.BigEndian.AppendUint16(b, Version)
	b = binary.BigEndian.AppendUint16(b, uint16(kind))
	b = append(b, tag...)
	b = binary.BigEndian.AppendUint64(b, generation)
	b = binary.BigEndian.AppendUint64(b, seq)
	b = binary.BigEndian.AppendUint64(b, length)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// decodeHeader checks a header. It checks the version first, as a later version may have its checksum elsewhere.
func decodeHeader(kind fileKind, tag string, generation uint64, b []byte) (seq, length uint64, err error) {
	if len(b) < headerBytes || string(b[:4]) != magic {
		return 0, 0, fmt.Errorf("head: %w", ErrDamaged)
	}
	body, sum := b[:headerBytes-4], binary.BigEndian.Uint32(b[headerBytes-4:])
	intact := crc32.Checksum(body, castagnoli) == sum
	if v := binary.BigEndian.Uint16(b[4:]); v != Version {
		if v > Version || intact {
			return 0, 0, fmt.Errorf("version %d: %w", v, ErrVersion)
		}
		return 0, 0, fmt.Errorf("head: %w", ErrDamaged)
	}
	if !intact {
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

// encodeSnapshot compresses a state. The header's length is that of the compressed body, which its checksum follows.
func encodeSnapshot(tag string, generation, seq uint64, state []byte) []byte {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithLowerEncoderMem(true), zstd.WithWindowSize(zstd.MinWindowSize<<8))
	if err != nil {
		panic(err) // the options are constants
	}
	defer func() { _ = encoder.Close() }() // frees its memory
	body := encoder.EncodeAll(state, nil)
	b := append(encodeHeader(snapshotFile, tag, generation, seq, uint64(len(body))), body...)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(body, castagnoli))
}

// decodeSnapshot returns the state and the sequence number of the last record that it covers. The decompressed state
// may be up to eight times as long as limit.
func decodeSnapshot(tag string, generation uint64, b []byte, limit int64) (state []byte, seq uint64, err error) {
	seq, length, err := decodeHeader(snapshotFile, tag, generation, b)
	if err != nil {
		return nil, 0, err
	}
	if rest := uint64(len(b) - headerBytes); rest < 4 || length != rest-4 {
		return nil, 0, fmt.Errorf("%d bytes of %d: %w", rest, length, ErrDamaged)
	}
	body := b[headerBytes : len(b)-4]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(b[len(b)-4:]) {
		return nil, 0, fmt.Errorf("body: %w", ErrDamaged)
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(8*limit)))
	if err != nil {
		return nil, 0, err
	}
	defer decoder.Close()
	if state, err = decoder.DecodeAll(body, nil); err != nil {
		return nil, 0, fmt.Errorf("body: %w: %w", err, ErrDamaged)
	}
	return state, seq, nil
}

func encodeLogHeader(tag string, generation, seq uint64) []byte {
	return encodeHeader(logFile, tag, generation, seq, 0)
}

func appendFrame(b []byte, seq uint64, record []byte) []byte {
	at := len(b)
	b = binary.BigEndian.AppendUint32(b, uint32(len(record)))
	b = binary.BigEndian.AppendUint64(b, seq)
	sum := crc32.Update(crc32.Checksum(b[at:], castagnoli), castagnoli, record)
	b = binary.BigEndian.AppendUint32(b, sum)
	return append(b, record...)
}

// nextFrame splits off the first frame, which must have the given sequence number. ok is false if there is no complete
// frame.
func nextFrame(b []byte, seq uint64) (record, rest []byte, ok bool) {
	if len(b) < frameHeaderBytes {
		return nil, b, false
	}
	n := binary.BigEndian.Uint32(b)
	if n > maxRecordBytes || int(n) > len(b)-frameHeaderBytes || binary.BigEndian.Uint64(b[4:]) != seq {
		return nil, b, false
	}
	record = b[frameHeaderBytes : frameHeaderBytes+int(n)]
	sum := crc32.Update(crc32.Checksum(b[:12], castagnoli), castagnoli, record)
	if sum != binary.BigEndian.Uint32(b[12:]) {
		return nil, b, false
	}
	return record, b[frameHeaderBytes+int(n):], true
}
