package history

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// A log is a sequence of frames. A frame is the length of its body and the body's
// CRC-32, four bytes each in little-endian order, and the body: records in CBOR,
// compressed with zstd.
const (
	frameHeaderSize = 8
	// maxFrameBody bounds the memory that a damaged length can ask for, in bytes.
	maxFrameBody = 16 << 20
	// maxDecodedFrame bounds the size of a frame's decompressed records, in bytes.
	maxDecodedFrame = 64 << 20
)

// logWriter appends frames to a log.
type logWriter struct {
	name   fileName
	file   *os.File
	events int // written so far
}

// createLog creates a log, and its folder if that is missing.
func createLog(dir string, name fileName) (*logWriter, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(name.in(dir), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &logWriter{name: name, file: file}, nil
}

// append writes one frame. After an error the log may end in part of a frame.
func (w *logWriter) append(records []eventRecord) error {
	frame, err := encodeFrame(records)
	if err != nil {
		return err
	}
	if _, err := w.file.Write(frame); err != nil {
		return err
	}
	w.events += len(records)
	return nil
}

func (w *logWriter) close() { _ = w.file.Close() } // what was written is checked when it is read

// encodeFrame returns a frame with its header.
func encodeFrame(records []eventRecord) ([]byte, error) {
	plain, err := cbor.Marshal(records)
	if err != nil {
		return nil, err
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return nil, err
	}
	defer encoder.Close()
	body := encoder.EncodeAll(plain, nil)
	frame := binary.LittleEndian.AppendUint32(nil, uint32(len(body)))
	frame = binary.LittleEndian.AppendUint32(frame, crc32.ChecksumIEEE(body))
	return append(frame, body...), nil
}

// readLog returns the records of the frames before the first that is damaged. The error
// says where that is.
func readLog(path string) ([]eventRecord, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecodedFrame))
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	var records []eventRecord
	for offset := 0; offset < len(content); {
		frame, size, err := decodeFrame(content[offset:], decoder)
		if err != nil {
			return records, fmt.Errorf("at byte %d of %d: %w", offset, len(content), err)
		}
		records = append(records, frame...)
		offset += size
	}
	return records, nil
}

// decodeFrame decodes the frame at the start of content, and returns its size with the
// header.
func decodeFrame(content []byte, decoder *zstd.Decoder) (records []eventRecord, size int, err error) {
	body, err := checkedBody(content)
	if err != nil {
		return nil, 0, err
	}
	plain, err := decoder.DecodeAll(body, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if err := cbor.Unmarshal(plain, &records); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return records, frameHeaderSize + len(body), nil
}

// checkedBody returns the body of the frame at the start of content, after comparing it
// with its checksum.
func checkedBody(content []byte) ([]byte, error) {
	if len(content) < frameHeaderSize {
		return nil, ErrDamaged
	}
	length := binary.LittleEndian.Uint32(content)
	checksum := binary.LittleEndian.Uint32(content[4:])
	if length > maxFrameBody || int(length) > len(content)-frameHeaderSize {
		return nil, ErrDamaged
	}
	body := content[frameHeaderSize : frameHeaderSize+int(length)]
	if crc32.ChecksumIEEE(body) != checksum {
		return nil, ErrDamaged
	}
	return body, nil
}

// sealLog replaces a log by a segment. A log that can't be read in full stays a log, so
// that nothing is lost that a reader might still get.
func sealLog(dir string, log fileName) error {
	path := log.in(dir)
	records, err := readLog(path)
	if err != nil {
		return err
	}
	segment := log.segment().in(dir)
	partial := segment + partialSuffix
	if err := writeSegment(partial, records); err != nil {
		_ = os.Remove(partial) // the log is still there
		return err
	}
	if err := os.Rename(partial, segment); err != nil {
		return err
	}
	return os.Remove(path)
}
