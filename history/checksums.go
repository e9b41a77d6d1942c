package history

import (
	"bytes"
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A segment carries CRC-32 checksums of its bytes in a block between the row groups and
// the Parquet footer. Readers of Parquet find everything by offsets that the footer
// gives, so those that don't know the block skip it. The block is:
//
//	marker
//	number of row groups, 4 bytes
//	for each row group: where it ends (8 bytes), its checksum (4 bytes)
//	checksum of everything from the end of the block to the end of the file, 4 bytes
//	checksum of the block up to here, 4 bytes
//
// Integers are little-endian. A row group's checksum covers the bytes from the end of
// the one before. The page index, between the last row group and the block, has none:
// it is never read.

// checksumMarker begins the block, and is a key of the footer's metadata as well, so
// that a segment whose block is damaged isn't mistaken for one written without it.
const checksumMarker = "lilaclead-segment-checksums"

const (
	checksumSize      = 4
	groupCountSize    = 4
	groupEndSize      = 8
	groupChecksumSize = groupEndSize + checksumSize
	// footerSuffixSize is what ends a Parquet file: the footer's length and a magic number.
	footerSuffixSize = 8
)

// errNoChecksums says that a segment was written without checksums of its bytes.
var errNoChecksums = errors.New("segment without checksums")

// groupChecksum guards the bytes of one row group.
type groupChecksum struct {
	end uint64 // offset in the file of the first byte after the group
	crc uint32
}

// segmentChecksums guards the bytes of a segment.
type segmentChecksums struct {
	groups []groupChecksum
	footer uint32
}

// appendGroup adds the checksum of a row group that ends where written does.
func (c *segmentChecksums) appendGroup(written []byte) {
	start := c.groupStart(len(c.groups))
	c.groups = append(c.groups, groupChecksum{uint64(len(written)), crc32.ChecksumIEEE(written[start:])})
}

// groupStart returns the offset of a row group's first byte.
func (c *segmentChecksums) groupStart(group int) uint64 {
	if group == 0 {
		return 0
	}
	return c.groups[group-1].end
}

// groupIntact reports whether the bytes of a row group are those that were written, as
// far as that is known: without checksums (nil) every group counts as intact.
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

// insertInto returns a Parquet file with the block of checksums before its footer.
func (c *segmentChecksums) insertInto(parquetFile []byte) ([]byte, error) {
	suffix := len(parquetFile) - footerSuffixSize
	if suffix < 0 {
		return nil, ErrDamaged
	}
	footer := suffix - int(binary.LittleEndian.Uint32(parquetFile[suffix:]))
	if footer < 0 {
		return nil, ErrDamaged
	}
	c.footer = crc32.ChecksumIEEE(parquetFile[footer:])
	return bytes.Join([][]byte{parquetFile[:footer], c.encode(), parquetFile[footer:]}, nil), nil
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

// findChecksums finds the block of checksums in a segment, and has checked the footer
// against it. The error is errNoChecksums or ErrDamaged.
func findChecksums(segment []byte) (*segmentChecksums, error) {
	rest, err := segment, errNoChecksums
	for {
		at := bytes.Index(rest, []byte(checksumMarker))
		if at < 0 {
			return nil, err
		}
		rest, err = rest[at:], ErrDamaged
		if checksums, size, ok := decodeChecksums(rest); ok && crc32.ChecksumIEEE(rest[size:]) == checksums.footer {
			return checksums, nil
		}
		rest = rest[len(checksumMarker):]
	}
}

// decodeChecksums decodes the block at the start of data, and returns its size.
func decodeChecksums(data []byte) (checksums *segmentChecksums, size int, ok bool) {
	at := len(checksumMarker)
	if len(data) < at+groupCountSize {
		return nil, 0, false
	}
	groups := int(binary.LittleEndian.Uint32(data[at:]))
	at += groupCountSize
	if groups > (len(data)-at)/groupChecksumSize {
		return nil, 0, false
	}
	checksums = &segmentChecksums{groups: make([]groupChecksum, groups)}
	for i := range checksums.groups {
		checksums.groups[i].end = binary.LittleEndian.Uint64(data[at:])
		checksums.groups[i].crc = binary.LittleEndian.Uint32(data[at+groupEndSize:])
		at += groupChecksumSize
	}
	if len(data) < at+2*checksumSize {
		return nil, 0, false
	}
	checksums.footer = binary.LittleEndian.Uint32(data[at:])
	at += checksumSize
	if crc32.ChecksumIEEE(data[:at]) != binary.LittleEndian.Uint32(data[at:]) {
		return nil, 0, false
	}
	return checksums, at + checksumSize, true
}
