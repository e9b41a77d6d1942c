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

// filePrefix is the start of every file's name: history-<controller>-<number><kind>.
const filePrefix = "history-"

// partialSuffix is the end of the name of a segment that is still being written.
const partialSuffix = ".part"

// fileKind is the kind of a file. Its value is the suffix of the file's name.
type fileKind string

const (
	logKind     fileKind = ".log.zst"
	segmentKind fileKind = ".parquet"
)

// fileName identifies a log or a segment. A segment has the number of the log that it
// replaces.
type fileName struct {
	controller string
	number     uint64
	kind       fileKind
}

// String returns the name of the file in its folder.
func (n fileName) String() string {
	return fmt.Sprintf("%s%s-%012d%s", filePrefix, n.controller, n.number, n.kind)
}

// pathIn returns the path of the file in a folder.
func (n fileName) pathIn(dir string) string { return filepath.Join(dir, n.String()) }

// segment returns the name of the segment that replaces a log.
func (n fileName) segment() fileName {
	n.kind = segmentKind
	return n
}

// parseFileName parses the name of a file in its folder. It reports false if the name is
// neither a log's nor a segment's.
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
	controllerAndNumber, hasPrefix := strings.CutPrefix(stem, filePrefix)
	dash := strings.LastIndexByte(controllerAndNumber, '-')
	if !hasPrefix || dash < 0 {
		return fileName{}, false
	}
	number, err := strconv.ParseUint(controllerAndNumber[dash+1:], 10, 64)
	if err != nil {
		return fileName{}, false
	}
	return fileName{controller: controllerAndNumber[:dash], number: number, kind: kind}, true
}

// listFiles returns a controller's files in a folder, the oldest first. It returns none if the
// folder can't be listed.
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
