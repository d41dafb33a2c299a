package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// processKeys are the keys as they stand in the file, possibly as file: paths.
type processKeys struct {
	instance  string
	operators []string
	upstreams []string
	engine    string
}

const (
	filePrefix = "file:"
	// leastKeyLength keeps keys that can be guessed out of the fleet.
	leastKeyLength = 16
)

var secretPattern = regexp.MustCompile(`^(file:.+|[!-~]{16,})$`)

const secretAllowed = "at least 16 printable characters without blanks, or file:PATH"

func secret() value[string] { return text(secretAllowed, secretPattern) }

// resolveKeys reads the keys that are given as files. Faults name the path and
// never the key.
func resolveKeys(p *Process, keys *processKeys, faults *collector) {
	resolver := keyResolver{folder: filepath.Dir(faults.file), faults: faults}
	p.InstanceKey = resolver.one("instance", keys.instance)
	p.OperatorKeys = resolver.all("operators", keys.operators)
	p.UpstreamKeys = resolver.all("upstreams", keys.upstreams)
	p.EngineKey = resolver.one("engine", keys.engine)
}

// keyResolver reads keys from files beside the settings file.
type keyResolver struct {
	folder string
	faults *collector
}

func (r *keyResolver) all(name string, given []string) []string {
	var keys []string
	for _, text := range given {
		keys = append(keys, r.one(name, text))
	}
	return keys
}

func (r *keyResolver) one(name, given string) string {
	path, fromFile := strings.CutPrefix(given, filePrefix)
	if !fromFile {
		return given
	}
	content, err := os.ReadFile(beside(r.folder, path))
	if err != nil {
		r.faults.add(keysSchema.kind, name, "key file can't be read: "+err.Error(), "a readable file")
		return ""
	}
	key := strings.TrimSpace(string(content))
	if len(key) < leastKeyLength {
		r.faults.add(keysSchema.kind, name, "key in file "+path+" is too short", secretAllowed)
		return ""
	}
	return key
}

// beside returns a path relative to the folder of the settings file.
func beside(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}
