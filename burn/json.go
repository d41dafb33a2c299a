package burn

import (
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// WriteJSON writes the table as indented JSON.
func (t *Table) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(t), "writing the burn table")
}
