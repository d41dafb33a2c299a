package load

import (
	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Keys maps organisations to the API keys of their callers.
type Keys map[string]string

// ReadKeys reads a file of lines ORGANISATION=KEY. INI section headers are allowed
// and ignored.
func ReadKeys(path string) (Keys, error) {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, path)
	if err != nil {
		return nil, errors.Wrap(err, "read the keys")
	}
	keys := Keys{}
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			keys[key.Name()] = key.String()
		}
	}
	return keys, nil
}
