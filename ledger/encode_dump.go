package ledger

import "time"

// EncodeAccount encodes a copy of a whole account for use in a dump.
func EncodeAccount(c *Copy) ([]byte, error) { return encode(c) }

// DecodeDump decodes a dump that was received from an instance at now. Either part
// may be empty.
func DecodeDump(now time.Time, account, store []byte) (*Dump, error) {
	d := &Dump{}
	var err error
	if len(account) > 0 {
		if d.Account, err = decodeCopy(account); err != nil {
			return nil, err
		}
		d.Account.correctClock(now)
	}
	if len(store) > 0 {
		if d.Store, err = decodeState(store); err != nil {
			return nil, err
		}
	}
	return d, nil
}
