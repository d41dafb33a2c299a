package ledger

import "time"

// EncodeAccount returns the whole account as it travels in a dump.
func EncodeAccount(c *Copy) ([]byte, error) { return encode(c) }

// DecodeDump reads what an instance sent just now for a report; either part may
// be empty.
func DecodeDump(now time.Time, own, book []byte) (*Dump, error) {
	d := &Dump{}
	var err error
	if len(own) > 0 {
		if d.Own, err = decodeCopy(own); err != nil {
			return nil, err
		}
		d.Own.correctClock(now)
	}
	if len(book) > 0 {
		if d.Book, err = decodeState(book); err != nil {
			return nil, err
		}
	}
	return d, nil
}
