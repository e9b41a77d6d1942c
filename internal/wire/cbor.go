package wire

import "github.com/fxamacker/cbor/v2"

// maxNesting bounds how deep arrays and maps may be nested in a decoded value.
const maxNesting = 16

// maxElements bounds the number of elements of a decoded array or map. It is above the
// largest number that the protocol allows, the 100,000 tasks of a job. The readers of bodies
// bound their size in bytes; this limit only keeps a corrupt length from exhausting the memory.
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

// Encode encodes a value as CBOR. It panics if the value can't be encoded; values of this
// package's types always can.
func Encode(v any) []byte {
	b, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// Decode decodes one CBOR value into v. Bytes after the value are an error.
func Decode(b []byte, v any) error { return decMode.Unmarshal(b, v) }

// IsMap reports whether the bytes begin a CBOR map.
func IsMap(b []byte) bool { return len(b) > 0 && b[0]>>majorTypeShift == majorTypeMap }

// The first byte of a CBOR value holds its major type in the upper three bits.
const (
	majorTypeShift = 5
	majorTypeMap   = 5
)
