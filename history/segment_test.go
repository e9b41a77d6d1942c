package history

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"github.com/parquet-go/parquet-go"
)

// encodeTestSegment returns the given number of records and the content of their segment.
func encodeTestSegment(t *testing.T, count int) (records []eventRecord, content []byte) {
	t.Helper()
	records = testRecords("a", 0, count)
	content, err := encodeSegment(records)
	if err != nil {
		t.Fatal(err)
	}
	return records, content
}

// Whichever byte of a segment is damaged, decodeSegment returns either all records as written,
// or no records and an error.
func TestEveryDamagedByteIsDetectedOrHarmless(t *testing.T) {
	want, content := encodeTestSegment(t, 40)
	for i := range content {
		damaged := slices.Clone(content)
		damaged[i] ^= 0xFF
		got, err := decodeSegment(damaged)
		if !slices.Equal(got, want) && (err == nil || len(got) > 0) {
			t.Errorf("byte %d of %d damaged: got %d records, error %v, want all %d, or none and an error", i, len(content), len(got), err, len(want))
		}
	}
}

// A segment of an earlier version, without checksums of its bytes, is read in full.
func TestSegmentWithoutChecksumsIsRead(t *testing.T) {
	const path = "testdata/history-a-000000000001.parquet"
	if _, err := findChecksums(readFile(t, path)); !errors.Is(err, errNoChecksums) {
		t.Errorf("findChecksums(%s) = %v, want %v", path, err, errNoChecksums)
	}
	want := testRecords("a", 0, 2100)
	got, err := readSegment(path)
	if err != nil || !slices.Equal(got, want) {
		t.Errorf("readSegment(%s) = %d records, %v, want %d as written", path, len(got), err, len(want))
	}
}

// A Parquet reader that doesn't know the block of checksums finds the records and the records'
// checksums. Earlier versions of this package are such readers.
func TestSegmentIsReadableAsPlainParquet(t *testing.T) {
	want, content := encodeTestSegment(t, 2*recordsPerGroup+52)
	file, err := parquet.OpenFile(bytes.NewReader(content), int64(len(content)))
	if err != nil {
		t.Fatal(err)
	}
	var got []eventRecord
	for i, group := range file.RowGroups() {
		records, err := decodeGroup(group)
		if err != nil {
			t.Fatalf("row group %d: %v", i, err)
		}
		wantChecksum, _ := file.Lookup(recordsChecksumKey(i))
		if checksum, err := recordsChecksum(records); err != nil || checksum != wantChecksum {
			t.Errorf("checksum of row group %d = %s, %v, want %s", i, checksum, err, wantChecksum)
		}
		got = append(got, records...)
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %d records, want %d as written", len(got), len(want))
	}
}

// Wherever a part of a segment is damaged, the row groups outside that part are read. Nothing is
// read if the damage reaches into the magic number at the file's start, the checksums or the footer.
func TestDamagedGroupsAreSkipped(t *testing.T) {
	want, content := encodeTestSegment(t, 3*recordsPerGroup)
	checksums, err := findChecksums(content)
	if err != nil || len(checksums.groups) != 3 {
		t.Fatalf("findChecksums = %+v, %v, want 3 row groups", checksums, err)
	}
	block := bytes.Index(content, []byte(checksumMarker))
	const damageSize = 64
	for start := 0; start+damageSize <= len(content); start += damageSize / 2 {
		end := start + damageSize
		damaged := slices.Clone(content)
		for i := start; i < end; i++ {
			damaged[i] ^= 0xA5
		}
		var wantRead []eventRecord
		framingIntact := start >= len("PAR1") && end <= block
		for i := range checksums.groups {
			groupDamaged := start < int(checksums.groups[i].end) && end > int(checksums.groupStart(i))
			if framingIntact && !groupDamaged {
				wantRead = append(wantRead, want[i*recordsPerGroup:(i+1)*recordsPerGroup]...)
			}
		}
		got, err := decodeSegment(damaged)
		if !slices.Equal(got, wantRead) {
			t.Errorf("bytes %d to %d of %d damaged: got %d records, want %d", start, end, len(content), len(got), len(wantRead))
		}
		if allRead := len(wantRead) == len(want); (err == nil) != allRead || err != nil && !errors.Is(err, ErrDamaged) {
			t.Errorf("bytes %d to %d of %d damaged: got error %v with %d of %d records", start, end, len(content), err, len(got), len(want))
		}
	}
}

// A segment that is truncated anywhere is reported as damaged. None of its records are read,
// since the footer is at the segment's end.
func TestTruncatedSegmentIsReported(t *testing.T) {
	_, content := encodeTestSegment(t, 40)
	for size := range content {
		if got, err := decodeSegment(content[:size]); len(got) > 0 || !errors.Is(err, ErrDamaged) {
			t.Errorf("truncated to %d of %d bytes: got %d records, error %v, want none and %v", size, len(content), len(got), err, ErrDamaged)
		}
	}
}

// A segment whose checksums are damaged must not be decoded like one without checksums.
func TestDamagedChecksumsAreNotTreatedAsMissing(t *testing.T) {
	_, content := encodeTestSegment(t, 40)
	block := bytes.Index(content, []byte(checksumMarker))
	for name, offset := range map[string]int{
		"marker":           block,
		"number of groups": block + len(checksumMarker),
		"group":            block + len(checksumMarker) + groupCountSize,
	} {
		damaged := slices.Clone(content)
		damaged[offset] ^= 0xFF
		if _, err := findChecksums(damaged); !errors.Is(err, ErrDamaged) {
			t.Errorf("%s damaged: findChecksums = %v, want %v", name, err, ErrDamaged)
		}
	}
}
