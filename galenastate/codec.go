package galenastate

import "github.com/fxamacker/cbor/v2"

// maxElements is the largest number of elements of an array or map that is
// decoded.
const maxElements = 1 << 20

var (
	encoding       = mustEncMode()
	bufferEncoding = mustBufferEncMode()
	decoding       = mustDecMode()
)

// mustEncMode returns the core deterministic encoding of CBOR, so that equal
// content has equal bytes on every replica.
func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustBufferEncMode() cbor.UserBufferEncMode {
	mode, err := cbor.CoreDetEncOptions().UserBufferEncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
