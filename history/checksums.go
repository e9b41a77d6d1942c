package history

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A segment contains CRC-32 checksums of its bytes, in a block between the row groups and
// the Parquet footer. Parquet readers find all data by the offsets in the footer, so readers
// that don't know the block skip it. The block consists of:
//
//	marker
//	number of row groups, 4 bytes
//	for each row group: the offset of its end (8 bytes), its checksum (4 bytes)
//	checksum of everything from the end of the block to the end of the file, 4 bytes
//	checksum of the block up to here, 4 bytes
//
// Integers are little-endian. A row group's checksum covers the bytes from the end of the
// previous row group to its own end. The page index, between the last row group and the
// block, has no checksum, as it is never read.

// checksumMarker is the start of the block. It is a key of the footer's metadata as well, so
// that a segment whose block is damaged isn't mistaken for one written without a block.
const checksumMarker = "lilaclead-segment-checksums"

const (
	checksumSize      = 4
	groupCountSize    = 4
	groupEndSize      = 8
	groupChecksumSize = groupEndSize + checksumSize
	// footerSuffixSize is the size of the end of a Parquet file: the footer's length and a
	// magic number, 4 bytes each.
	footerSuffixSize = 8
)

// errNoChecksums reports that a segment was written without checksums of its bytes.
var errNoChecksums = errors.New("segment without checksums")

// groupChecksum is the checksum of one row group.
type groupChecksum struct {
	end uint64 // offset in the file of the first byte after the group
	crc uint32
}

// segmentChecksums are the checksums in a segment's block.
type segmentChecksums struct {
	groups []groupChecksum
	footer uint32 // checksum of everything after the block
}

// appendGroup adds the checksum of the next row group, given the segment's bytes up to the
// group's end.
func (c *segmentChecksums) appendGroup(written []byte) {
	start := c.groupStart(len(c.groups))
	c.groups = append(c.groups, groupChecksum{uint64(len(written)), crc32.ChecksumIEEE(written[start:])})
}

// groupStart returns the offset of the first byte of a row group, given by its index.
func (c *segmentChecksums) groupStart(group int) uint64 {
	if group == 0 {
		return 0
	}
	return c.groups[group-1].end
}

// groupIntact reports whether a row group's bytes match its checksum. If the segment has no
// checksums (c is nil), every group counts as intact.
func (c *segmentChecksums) groupIntact(segment []byte, group int) bool {
	if c == nil {
		return true
	}
	start, end := c.groupStart(group), c.groups[group].end
	if start > end || end > uint64(len(segment)) {
		return false
	}
	return crc32.ChecksumIEEE(segment[start:end]) == c.groups[group].crc
}

// insertInto sets the footer's checksum, and returns the Parquet file with the block of
// checksums inserted before the footer.
func (c *segmentChecksums) insertInto(parquetFile []byte) ([]byte, error) {
	suffixStart := len(parquetFile) - footerSuffixSize
	if suffixStart < 0 {
		return nil, ErrDamaged
	}
	footerStart := suffixStart - int(binary.LittleEndian.Uint32(parquetFile[suffixStart:]))
	if footerStart < 0 {
		return nil, ErrDamaged
	}
	c.footer = crc32.ChecksumIEEE(parquetFile[footerStart:])
	return bytes.Join([][]byte{parquetFile[:footerStart], c.encode(), parquetFile[footerStart:]}, nil), nil
}

// encode returns the block.
func (c *segmentChecksums) encode() []byte {
	block := []byte(checksumMarker)
	block = binary.LittleEndian.AppendUint32(block, uint32(len(c.groups)))
	for _, group := range c.groups {
		block = binary.LittleEndian.AppendUint64(block, group.end)
		block = binary.LittleEndian.AppendUint32(block, group.crc)
	}
	block = binary.LittleEndian.AppendUint32(block, c.footer)
	return binary.LittleEndian.AppendUint32(block, crc32.ChecksumIEEE(block))
}

// findChecksums finds and decodes the block of checksums in a segment, and verifies the
// footer. The marker also occurs outside the block, so every occurrence is tried. The error is
// errNoChecksums if the marker occurs nowhere, and ErrDamaged if no block is intact.
func findChecksums(segment []byte) (*segmentChecksums, error) {
	rest, err := segment, errNoChecksums
	for {
		markerStart := bytes.Index(rest, []byte(checksumMarker))
		if markerStart < 0 {
			return nil, err
		}
		rest, err = rest[markerStart:], ErrDamaged
		if checksums, size, ok := decodeChecksums(rest); ok && crc32.ChecksumIEEE(rest[size:]) == checksums.footer {
			return checksums, nil
		}
		rest = rest[len(checksumMarker):]
	}
}

// decodeChecksums decodes the block at the start of data, and returns the block's size. It
// reports false if there is no intact block.
func decodeChecksums(data []byte) (checksums *segmentChecksums, size int, ok bool) {
	offset := len(checksumMarker)
	if len(data) < offset+groupCountSize {
		return nil, 0, false
	}
	groupCount := int(binary.LittleEndian.Uint32(data[offset:]))
	offset += groupCountSize
	if groupCount > (len(data)-offset)/groupChecksumSize {
		return nil, 0, false
	}
	checksums = &segmentChecksums{groups: make([]groupChecksum, groupCount)}
	for i := range checksums.groups {
		checksums.groups[i].end = binary.LittleEndian.Uint64(data[offset:])
		checksums.groups[i].crc = binary.LittleEndian.Uint32(data[offset+groupEndSize:])
		offset += groupChecksumSize
	}
	if len(data) < offset+2*checksumSize {
		return nil, 0, false
	}
	checksums.footer = binary.LittleEndian.Uint32(data[offset:])
	offset += checksumSize
	if crc32.ChecksumIEEE(data[:offset]) != binary.LittleEndian.Uint32(data[offset:]) {
		return nil, 0, false
	}
	return checksums, offset + checksumSize, true
}
