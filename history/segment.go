package history

import (
	"bytes"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/parquet-go/parquet-go"
)

// recordsPerGroup is the maximum number of records in a row group. If a row group is damaged,
// all of its records are lost.
const recordsPerGroup = 1024

// unbufferedWrites is a write buffer size that makes the Parquet library write each row group
// when it is flushed, so that the group's end offset is known. 0 would select the library's
// default size.
const unbufferedWrites = -1

// recordsChecksumKey returns the key of the checksum of a row group's records in a segment's
// metadata. Parquet's own checksums cover only the pages' content: without this checksum, a
// damaged page header can yield wrong records without an error.
func recordsChecksumKey(group int) string { return fmt.Sprint("rows-crc32-", group) }

// recordsChecksum returns the checksum of records. It doesn't depend on how they are encoded
// in the segment.
func recordsChecksum(records []eventRecord) (string, error) {
	encoded, err := cbor.Marshal(records)
	return fmt.Sprintf("%08x", crc32.ChecksumIEEE(encoded)), err
}

// encodeSegment returns records as a Parquet file with checksums of its bytes.
func encodeSegment(records []eventRecord) ([]byte, error) {
	var file bytes.Buffer
	writer := parquet.NewGenericWriter[eventRecord](&file, parquet.Compression(&parquet.Zstd), parquet.WriteBufferSize(unbufferedWrites))
	writer.SetKeyValueMetadata(checksumMarker, "crc32")
	var checksums segmentChecksums
	group := 0
	for chunk := range slices.Chunk(records, recordsPerGroup) {
		if err := writeGroup(writer, group, chunk); err != nil {
			return nil, err
		}
		checksums.appendGroup(file.Bytes())
		group++
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return checksums.insertInto(file.Bytes())
}

// writeGroup writes records as one row group.
func writeGroup(writer *parquet.GenericWriter[eventRecord], group int, records []eventRecord) error {
	checksum, err := recordsChecksum(records)
	if err != nil {
		return err
	}
	writer.SetKeyValueMetadata(recordsChecksumKey(group), checksum)
	if _, err := writer.Write(records); err != nil {
		return err
	}
	return writer.Flush()
}

// writeSegment writes records to a segment, and returns once they are synced to the disk.
func writeSegment(path string, records []eventRecord) error {
	content, err := encodeSegment(records)
	if err != nil {
		return err
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	return errors.Join(err, file.Sync(), file.Close())
}

// readSegment returns the records of a segment's intact row groups. The error states the rows
// of the last damaged group, or the problem with the whole file.
func readSegment(path string) ([]eventRecord, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return decodeSegment(content)
}

// decodeSegment returns the records of the intact row groups in a segment's content. Its error is
// as described at readSegment.
//
// The Parquet library may panic on damaged bytes, and may even end the process. It is
// therefore given only bytes that match their checksums. Segments of earlier versions have
// no checksums of their bytes and are read without this check.
func decodeSegment(content []byte) (records []eventRecord, err error) {
	defer recoverDamage(&err)
	checksums, err := findChecksums(content)
	if err != nil && !errors.Is(err, errNoChecksums) {
		return nil, err
	}
	file, err := openSegment(content, checksums)
	if err != nil {
		return nil, err
	}
	for i, group := range file.RowGroups() {
		groupRecords, ok := readGroup(file, i, checksums.groupIntact(content, i))
		if !ok {
			err = damagedGroupError(i, group.NumRows())
			continue
		}
		records = append(records, groupRecords...)
	}
	return records, err
}

// openSegment opens a segment's content. The page index has no checksum, so it is skipped if
// the segment has checksums.
func openSegment(content []byte, checksums *segmentChecksums) (*parquet.File, error) {
	file, err := parquet.OpenFile(bytes.NewReader(content), int64(len(content)), parquet.SkipPageIndex(checksums != nil))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	if checksums != nil && len(checksums.groups) != len(file.RowGroups()) {
		return nil, ErrDamaged
	}
	return file, nil
}

// damagedGroupError returns an error that states which rows of a segment are lost with a row
// group.
func damagedGroupError(group int, records int64) error {
	firstRow := group * recordsPerGroup
	return fmt.Errorf("%w: rows %d to %d", ErrDamaged, firstRow, firstRow+int(records)-1)
}

// readGroup returns the records of a row group. It reports false if the group's bytes are
// damaged, can't be decoded, or yield records that don't match their checksum.
func readGroup(file *parquet.File, group int, bytesIntact bool) ([]eventRecord, bool) {
	if !bytesIntact {
		return nil, false
	}
	records, err := decodeGroup(file.RowGroups()[group])
	if err != nil {
		return nil, false
	}
	wantChecksum, _ := file.Lookup(recordsChecksumKey(group))
	checksum, err := recordsChecksum(records)
	return records, err == nil && checksum == wantChecksum
}

func decodeGroup(group parquet.RowGroup) (records []eventRecord, err error) {
	defer recoverDamage(&err)
	if group.NumRows() < 0 || group.NumRows() > recordsPerGroup {
		return nil, ErrDamaged
	}
	records = make([]eventRecord, group.NumRows())
	count, err := parquet.NewGenericRowGroupReader[eventRecord](group).Read(records)
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return records[:count], err
}

// recoverDamage turns a panic of the Parquet library into an error that wraps ErrDamaged. It
// must be deferred directly, since recover works only in the deferred function itself.
func recoverDamage(err *error) {
	if cause := recover(); cause != nil {
		*err = fmt.Errorf("%w: %v", ErrDamaged, cause)
	}
}
