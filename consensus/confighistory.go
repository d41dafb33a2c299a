package consensus

// configHistory holds the configurations of the log. The newest takes effect as
// soon as its entry is in the log, whether or not it is committed. If another
// leader replaces the entry, the previous configuration takes effect again.
type configHistory struct {
	base    Configuration // of the snapshot; zero if there is none
	changes []configChange
}

type configChange struct {
	index  uint64
	config Configuration
}

// current returns the configuration that is in effect.
func (h *configHistory) current() *Configuration {
	if len(h.changes) == 0 {
		return &h.base
	}
	return &h.changes[len(h.changes)-1].config
}

// lastIndex returns the index of the newest configuration change, or zero if the
// log has none.
func (h *configHistory) lastIndex() uint64 {
	if len(h.changes) == 0 {
		return 0
	}
	return h.changes[len(h.changes)-1].index
}

// at returns the configuration in effect at a log index.
func (h *configHistory) at(index uint64) Configuration {
	latest := h.base
	for _, c := range h.changes {
		if c.index > index {
			break
		}
		latest = c.config
	}
	return latest
}

// record adds the configuration changes found in new log entries.
func (h *configHistory) record(entries []Entry) error {
	for _, e := range entries {
		if e.Kind != Reconfiguration {
			continue
		}
		config, err := DecodeConfiguration(e.Data)
		if err != nil {
			return err
		}
		h.changes = append(h.changes, configChange{e.Index, config})
	}
	return nil
}

// truncate removes the changes at and after an index.
func (h *configHistory) truncate(from uint64) {
	for len(h.changes) > 0 && h.lastIndex() >= from {
		h.changes = h.changes[:len(h.changes)-1]
	}
}

// compact merges the changes up to an index into the base configuration.
func (h *configHistory) compact(index uint64) {
	h.base = h.at(index)
	for len(h.changes) > 0 && h.changes[0].index <= index {
		h.changes = h.changes[1:]
	}
}

// reset discards all changes and uses the configuration of a snapshot.
func (h *configHistory) reset(base Configuration) {
	*h = configHistory{base: base}
}
