package main

import (
	"embed"
	"encoding/json"
	"path"
)

// wireFiles hold the names of the wire format and the configurations of the scripts. They are data because no Go code
// outside the adapter may contain these names.
//
//go:embed wire
var wireFiles embed.FS

// wire are the names of header fields, paths and members of documents.
var wire = readNames()

func readNames() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireFile("names.json"), &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}

// wireFile returns the content of a file of the wire format.
func wireFile(name string) json.RawMessage {
	text, err := wireFiles.ReadFile(path.Join("wire", name))
	if err != nil {
		panic(err) // the file is part of the program
	}
	return text
}
