package upstream

import "slices"

// addressIndex indexes the records of a registry by address. An address usually has one record, and
// several while a new upstream takes over the address of a terminated one. Without the index, each
// first announcement of an upstream would need a scan of all records; when thousands of upstreams
// start at once, these scans took more processor time on a voter than all its other work.
type addressIndex map[string][]*record

func (o addressIndex) add(rec *record) {
	address := rec.announcement.Address
	o[address] = append(o[address], rec)
}

// remove deletes a record, whose address must not have changed since it was added. A nil record is
// ignored.
func (o addressIndex) remove(rec *record) {
	if rec == nil {
		return
	}
	address := rec.announcement.Address
	left := slices.DeleteFunc(o[address], func(other *record) bool { return other == rec })
	if len(left) == 0 {
		delete(o, address)
		return
	}
	o[address] = left
}
