package main

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// standardize converts JSON with comments and trailing commas to plain JSON.
func standardize(text []byte) ([]byte, error) {
	data, err := hujson.Standardize(text)
	return data, errors.Wrap(err, "JSON with comments")
}

// loadFile decodes a file of JSON with comments into the value that value points to. Unknown fields are errors.
func loadFile(path string, value any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read file")
	}
	data, err := standardize(text)
	if err != nil {
		return errors.Wrap(err, path)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(value), path)
}
