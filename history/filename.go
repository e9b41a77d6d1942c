package history

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// filePrefix begins the name of every file: history-<controller>-<number><kind>.
const filePrefix = "history-"

// partialSuffix ends the name of a segment that is still being written.
const partialSuffix = ".part"

// fileKind is the kind of a file, which is the suffix of its name.
type fileKind string

const (
	logKind     fileKind = ".log.zst"
	segmentKind fileKind = ".parquet"
)

// fileName identifies a log or a segment. A segment keeps the number of its log.
type fileName struct {
	controller string
	number     uint64
	kind       fileKind
}

// String returns the name of the file in its folder.
func (n fileName) String() string {
	return fmt.Sprintf("%s%s-%012d%s", filePrefix, n.controller, n.number, n.kind)
}

// in returns the path of the file in a folder.
func (n fileName) in(dir string) string { return filepath.Join(dir, n.String()) }

// segment returns the name of the segment that a log is sealed as.
func (n fileName) segment() fileName {
	n.kind = segmentKind
	return n
}

// parseFileName parses the name of a file in its folder. It reports false if the file
// is neither a log nor a segment.
func parseFileName(name string) (fileName, bool) {
	for _, kind := range []fileKind{logKind, segmentKind} {
		stem, matches := strings.CutSuffix(name, string(kind))
		if matches {
			return parseFileStem(stem, kind)
		}
	}
	return fileName{}, false
}

// parseFileStem parses a file's name without the suffix of its kind.
func parseFileStem(stem string, kind fileKind) (fileName, bool) {
	numbered, hasPrefix := strings.CutPrefix(stem, filePrefix)
	dash := strings.LastIndexByte(numbered, '-')
	if !hasPrefix || dash < 0 {
		return fileName{}, false
	}
	number, err := strconv.ParseUint(numbered[dash+1:], 10, 64)
	if err != nil {
		return fileName{}, false
	}
	return fileName{controller: numbered[:dash], number: number, kind: kind}, true
}

// listFiles returns a controller's files in a folder, the oldest first. A folder that
// can't be listed has none.
func listFiles(dir, controller string) []fileName {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	var files []fileName
	for _, entry := range entries {
		if name, ok := parseFileName(entry.Name()); ok && name.controller == controller {
			files = append(files, name)
		}
	}
	slices.SortFunc(files, func(a, b fileName) int { return cmp.Compare(a.number, b.number) })
	return files
}
