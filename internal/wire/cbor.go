package wire

import "github.com/fxamacker/cbor/v2"

// maxNesting bounds how deep arrays and maps that are read may be nested.
const maxNesting = 16

// maxElements bounds the arrays and maps that are read, above the largest of the
// protocol, a job's 100,000 tasks. It only keeps a damaged length from taking all
// memory: how much is read at all is bounded in bytes.
const maxElements = 131072

var encMode = func() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyQuiet,
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Encode encodes a value as CBOR. It panics on a value that can't be encoded, which those
// of this package's types always can.
func Encode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode decodes one value; bytes after it are an error.
func Decode(b []byte, v any) error { return decMode.Unmarshal(b, v) }

// IsMap reports whether the bytes begin a CBOR map.
func IsMap(b []byte) bool { return len(b) > 0 && b[0]>>majorTypeShift == majorTypeMap }

// The first byte of a CBOR value holds its major type in the upper three bits.
const (
	majorTypeShift = 5
	majorTypeMap   = 5
)
