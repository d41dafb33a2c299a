package main

import (
	"embed"
	"encoding/json"
	"path"
)

// wireFiles hold the platform's wire format as our stand-ins speak it: the names of header fields and paths,
// and the documents. It is data because no Go code outside the adapter may contain these names.
//
//go:embed wire
var wireFiles embed.FS

// wire are the names of the wire format.
var wire = readNames()

type names struct {
	Fields struct {
		Request  string `json:"request"`
		Deadline string `json:"deadline"`
		Key      string `json:"key"`
		Model    string `json:"model"`
		Usage    string `json:"usage"`
		Prefix   string `json:"prefix"`
		Resume   string `json:"resume"`
		Expected string `json:"expected"`
		Server   string `json:"server"`
		Refused  string `json:"refused"`
		Seal     string `json:"seal"`
		Weights  string `json:"weights"`
	} `json:"fields"`
	Paths struct {
		Configure string `json:"configure"`
		Ready     string `json:"ready"`
		Heartbeat string `json:"heartbeat"` // with a place for the server's id
		Health    string `json:"health"`
		Report    string `json:"report"`
	} `json:"paths"`
	NextHeartbeat string `json:"next_heartbeat"` // in the answer to a heartbeat
}

func readNames() names {
	var read names
	if err := json.Unmarshal([]byte(wireFile("names.json")), &read); err != nil {
		panic(err) // the file is part of the program
	}
	return read
}

// wireFile returns the text of a file of the wire format.
func wireFile(name string) string {
	text, err := wireFiles.ReadFile(path.Join("wire", name))
	if err != nil {
		panic(err) // the file is part of the program
	}
	return string(text)
}

// document returns a document of the wire format with its places filled in.
func document(name string, values map[string]string) []byte {
	return []byte(fill(wireFile(name+".json.tmpl"), values))
}
