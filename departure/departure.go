package departure

// MaxNameBytes is the longest name of an upstream whose departure is kept.
const MaxNameBytes = 512

// Departure names an incarnation of an upstream that accepts no new work any more.
type Departure struct {
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
}

// Valid reports whether an upstream can have the departure.
func (d Departure) Valid() bool {
	return d.Name != "" && len(d.Name) <= MaxNameBytes && d.Incarnation > 0
}
