package storerelay

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"

	"github.com/covelink/covelink/internal/metastore"
)

// maxUnpackedBytes bounds the decompressed size of a list, against corrupt or malicious input.
const maxUnpackedBytes = 64 << 20

// pack encodes and compresses objects.
func pack(objects []metastore.Object) ([]byte, error) {
	var packed bytes.Buffer
	compressor, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("storerelay: compress objects: %w", err)
	}
	if err := gob.NewEncoder(compressor).Encode(objects); err != nil {
		return nil, fmt.Errorf("storerelay: compress objects: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("storerelay: compress objects: %w", err)
	}
	return packed.Bytes(), nil
}

// unpack reverses pack.
func unpack(packed []byte) ([]metastore.Object, error) {
	content := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes)
	var objects []metastore.Object
	if err := gob.NewDecoder(content).Decode(&objects); err != nil {
		return nil, fmt.Errorf("storerelay: decompress objects: %w", err)
	}
	return objects, nil
}

// unpacked returns the change with its objects decoded.
func (c Change) unpacked() (Change, error) {
	if len(c.Packed) == 0 {
		return c, nil
	}
	objects, err := unpack(c.Packed)
	c.Objects, c.Packed = objects, nil
	return c, err
}
