package upstream

import "slices"

// occupancy lists the records of a registry by address: mostly one, more while another upstream
// takes over the address of one that ended. A search through all records for each upstream that
// is heard first takes a voter more processor time than all else when thousands start at once.
type occupancy map[string][]*record

func (o occupancy) add(rec *record) {
	address := rec.announcement.Address
	o[address] = append(o[address], rec)
}

// remove takes a record out; nil is none. Its address must be the one under which it was added.
func (o occupancy) remove(rec *record) {
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
