package history

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"os"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/zstd"
)

// A log is a sequence of frames. A frame consists of the length of its body, the CRC-32 of
// its body, and the body. The length and the CRC-32 have four bytes each in little-endian
// order. The body is records in CBOR, compressed with zstd.
const (
	frameHeaderSize = 8
	// maxFrameBody bounds the size of a frame's body, in bytes. A greater length counts as
	// damage, so that a damaged length can't have a huge body verified and decompressed.
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

// createLog creates a log, and its folder if that is missing. The log must not exist yet.
func createLog(dir string, name fileName) (*logWriter, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(name.pathIn(dir), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &logWriter{name: name, file: file}, nil
}

// appendFrame writes records as one frame. After an error the log may end in a partial frame.
func (w *logWriter) appendFrame(records []eventRecord) error {
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

func (w *logWriter) close() { _ = w.file.Close() } // checksums reveal a lost write on reading

// encodeFrame returns records as a frame: the header and the body.
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

// readLog returns the records of a log. If a frame is damaged, it returns the records of the
// frames before it, and an error that states the frame's offset.
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
		frameRecords, size, err := decodeFrame(content[offset:], decoder)
		if err != nil {
			return records, fmt.Errorf("at byte %d of %d: %w", offset, len(content), err)
		}
		records = append(records, frameRecords...)
		offset += size
	}
	return records, nil
}

// decodeFrame decodes the frame at the start of content, and returns the frame's size
// including the header.
func decodeFrame(content []byte, decoder *zstd.Decoder) (records []eventRecord, size int, err error) {
	body, err := verifiedBody(content)
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

// verifiedBody returns the body of the frame at the start of content. It returns ErrDamaged if
// the frame is truncated, or its body is too long or doesn't match its checksum.
func verifiedBody(content []byte) ([]byte, error) {
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

// sealLog replaces a log by a segment. A log that can't be read in full is kept as it is, so
// that its unreadable part isn't lost as well.
func sealLog(dir string, log fileName) error {
	path := log.pathIn(dir)
	records, err := readLog(path)
	if err != nil {
		return err
	}
	segment := log.segment().pathIn(dir)
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
