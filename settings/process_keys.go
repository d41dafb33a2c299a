package settings

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
)

// processKeys holds the keys as written in the file, either literal or as file:PATH.
type processKeys struct {
	instance  string
	operators []string
	upstreams []string
	engine    string
}

const (
	filePrefix = "file:"
	// minKeyLength rejects keys that are short enough to guess.
	minKeyLength = 16
)

var secretPattern = regexp.MustCompile(`^(file:.+|[!-~]{16,})$`)

const secretAllowed = "at least 16 printable characters without blanks, or file:PATH"

func secret() value[string] { return text(secretAllowed, secretPattern) }

// resolveKeys reads the keys that are given as file:PATH. Faults contain the path
// but never the key.
func resolveKeys(p *Process, keys *processKeys, faults *collector) {
	resolver := keyResolver{folder: filepath.Dir(faults.file), faults: faults}
	p.InstanceKey = resolver.resolve("instance", keys.instance)
	p.OperatorKeys = resolver.resolveAll("operators", keys.operators)
	p.UpstreamKeys = resolver.resolveAll("upstreams", keys.upstreams)
	p.EngineKey = resolver.resolve("engine", keys.engine)
}

// keyResolver reads keys from files; relative paths are relative to folder.
type keyResolver struct {
	folder string
	faults *collector
}

func (r *keyResolver) resolveAll(name string, given []string) []string {
	var keys []string
	for _, text := range given {
		keys = append(keys, r.resolve(name, text))
	}
	return keys
}

func (r *keyResolver) resolve(name, given string) string {
	path, fromFile := strings.CutPrefix(given, filePrefix)
	if !fromFile {
		return given
	}
	content, err := os.ReadFile(resolvePath(r.folder, path))
	if err != nil {
		r.faults.add(keysSchema.kind, name, "key file can't be read: "+err.Error(), "a readable file")
		return ""
	}
	key := strings.TrimSpace(string(content))
	if len(key) < minKeyLength {
		r.faults.add(keysSchema.kind, name, "key in file "+path+" is too short", secretAllowed)
		return ""
	}
	return key
}

// resolvePath resolves a relative path against the folder of the settings file.
func resolvePath(folder, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(folder, path)
}
