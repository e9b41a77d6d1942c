package history

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/parquet-go/parquet-go"
)

// A log is a sequence of frames: the length and the checksum of a body, four bytes
// each, and the body, rows in CBOR compressed with zstd.
const (
	frameHeader = 8
	// maxFrame bounds what a damaged length can ask for.
	maxFrame = 16 << 20
	// maxRows is what a frame can hold once it is unpacked, in bytes.
	maxRows = 64 << 20
)

// logFile is a log that is open for appending.
type logFile struct {
	file   file
	f      *os.File
	events int
}

func createLog(dir string, name file) (*logFile, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(dir, name.name()), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &logFile{file: name, f: f}, nil
}

// append writes one frame. After an error the log may end in a part of it.
func (l *logFile) append(rows []row) error {
	raw, err := cbor.Marshal(rows)
	if err != nil {
		return err
	}
	packer, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return err
	}
	defer packer.Close()
	body := packer.EncodeAll(raw, nil)
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	frame = binary.LittleEndian.AppendUint32(frame, crc32.ChecksumIEEE(body))
	if _, err := l.f.Write(append(frame, body...)); err != nil {
		return err
	}
	l.events += len(rows)
	return nil
}

func (l *logFile) close() { l.f.Close() } //nolint:errcheck // what was written is checked when it is read

// errDamaged is a part of a file that can't be read.
var errDamaged = errors.New("damaged or truncated")

// readLog reads the frames of a log up to the first that can't be read.
func readLog(path string) ([]row, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	unpacker, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxRows))
	if err != nil {
		return nil, err
	}
	defer unpacker.Close()
	var out []row
	for at := 0; at < len(raw); {
		rows, size, err := readFrame(raw[at:], unpacker)
		if err != nil {
			return out, fmt.Errorf("at byte %d of %d: %w", at, len(raw), err)
		}
		out, at = append(out, rows...), at+size
	}
	return out, nil
}

// readFrame reads the first frame and tells its size.
func readFrame(raw []byte, unpacker *zstd.Decoder) ([]row, int, error) {
	if len(raw) < frameHeader {
		return nil, 0, errDamaged
	}
	length, sum := binary.LittleEndian.Uint32(raw), binary.LittleEndian.Uint32(raw[4:])
	if length > maxFrame || int(length) > len(raw)-frameHeader {
		return nil, 0, errDamaged
	}
	body := raw[frameHeader : frameHeader+int(length)]
	if crc32.ChecksumIEEE(body) != sum {
		return nil, 0, errDamaged
	}
	plain, err := unpacker.DecodeAll(body, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", errDamaged, err)
	}
	var rows []row
	if err := cbor.Unmarshal(plain, &rows); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", errDamaged, err)
	}
	return rows, frameHeader + int(length), nil
}

// sealLog makes a log a segment. What can't be read of the log keeps it a log, so that
// nothing is lost that a reader might still get.
func sealLog(dir string, log file) error {
	path := filepath.Join(dir, log.name())
	rows, err := readLog(path)
	if err != nil {
		return err
	}
	target := filepath.Join(dir, log.segment().name())
	if err := writeSegment(target+partEnding, rows); err != nil {
		os.Remove(target + partEnding) //nolint:errcheck // the log is still there
		return err
	}
	if err := os.Rename(target+partEnding, target); err != nil {
		return err
	}
	return os.Remove(path)
}

// groupRows is how many rows of a segment stand or fall together when it is damaged.
const groupRows = 1024

// groupSum names the checksum of a group of rows in a segment's metadata. (The format
// guards its pages alone: a damaged header of one once gave other rows, unnoticed.)
func groupSum(group int) string { return fmt.Sprint("rows-crc32-", group) }

// sumOf rows, however they are stored.
func sumOf(rows []row) (string, error) {
	raw, err := cbor.Marshal(rows)
	return fmt.Sprintf("%08x", crc32.ChecksumIEEE(raw)), err
}

// unbuffered makes the library write a group of rows when it is flushed, so that its
// end is known. (0 would be the library's default.)
const unbuffered = -1

// packSegment makes a columnar file of rows.
func packSegment(rows []row) ([]byte, error) {
	var packed bytes.Buffer
	w := parquet.NewGenericWriter[row](&packed, parquet.Compression(&parquet.Zstd), parquet.WriteBufferSize(unbuffered))
	w.SetKeyValueMetadata(checksumMarker, "crc32")
	var checksums segmentChecksums
	group := 0
	for part := range slices.Chunk(rows, groupRows) {
		sum, err := sumOf(part)
		if err != nil {
			return nil, err
		}
		w.SetKeyValueMetadata(groupSum(group), sum)
		if _, err := w.Write(part); err != nil {
			return nil, err
		}
		if err := w.Flush(); err != nil {
			return nil, err
		}
		checksums.appendGroup(packed.Bytes())
		group++
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return checksums.insertInto(packed.Bytes())
}

// writeSegment writes rows as a columnar file.
func writeSegment(path string, rows []row) error {
	packed, err := packSegment(rows)
	if err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = f.Write(packed)
	return errors.Join(err, f.Sync(), f.Close())
}

// readSegment reads a columnar file, without the groups of rows that are damaged. The
// library may panic on damaged bytes, and may even end the process, so it gets none
// that their checksums don't confirm; files that were written without these are read
// as they are.
func readSegment(path string) (out []row, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}()
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	checksums, err := findChecksums(raw)
	if err != nil && !errors.Is(err, errNoChecksums) {
		return nil, err
	}
	f, err := parquet.OpenFile(bytes.NewReader(raw), int64(len(raw)), parquet.SkipPageIndex(checksums != nil))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errDamaged, err)
	}
	groups := f.RowGroups()
	if checksums != nil && len(checksums.groups) != len(groups) {
		return nil, errDamaged
	}
	for i, group := range groups {
		var rows []row
		readErr := errDamaged
		if checksums == nil || checksums.groupIntact(raw, i) {
			rows, readErr = readGroup(group)
		}
		want, _ := f.Lookup(groupSum(i))
		sum, sumErr := sumOf(rows)
		if readErr != nil || sumErr != nil || sum != want {
			err = fmt.Errorf("%w: rows %d to %d", errDamaged, i*groupRows, i*groupRows+int(group.NumRows())-1)
			continue
		}
		out = append(out, rows...)
	}
	return out, err
}

// readGroup reads a group of rows.
func readGroup(group parquet.RowGroup) (rows []row, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errDamaged, p)
		}
	}()
	if group.NumRows() < 0 || group.NumRows() > groupRows {
		return nil, errDamaged
	}
	rows = make([]row, group.NumRows())
	n, err := parquet.NewGenericRowGroupReader[row](group).Read(rows)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return rows[:n], err
}
