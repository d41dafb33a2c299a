package settings

import (
	"path/filepath"
	"sort"
)

// votersKind is the section that maps names of voters to addresses.
const votersKind = "voters"

const processKinds = "[process], [listen], [control], [voters], [keys], [pools], [limits]"

// ParseProcess parses and validates the settings of one process. The error is a
// Faults that lists every problem. Relative paths in the text are resolved
// against the folder of file.
func ParseProcess(file string, text []byte) (*Process, error) {
	faults := &collector{file: file}
	sections, ok := readSections(text, faults)
	p := decodeProcess(sections, faults)
	if ok {
		checkProcess(p, faults)
	}
	if err := faults.err(); err != nil {
		return nil, err
	}
	return p, nil
}

func decodeProcess(sections []section, faults *collector) *Process {
	var p Process
	var keys processKeys
	parts := []processPart{
		sectionPart(&processSchema, &p),
		sectionPart(&listenSchema, &p),
		dutyPart(listenSchema.kind, &p),
		sectionPart(&controlSchema, &p),
		sectionPart(&keysSchema, &keys),
		dutyPart(keysSchema.kind, &p),
		sectionPart(&poolsSchema, &p),
		sectionPart(&limitsSchema, &p),
	}
	known := map[string]bool{votersKind: true}
	for _, part := range parts {
		known[part.kind] = true
		part.decode(sections, faults)
	}
	for _, sec := range sections {
		if !known[sec.name] {
			faults.add(sec.name, "", "unknown section", processKinds)
		}
	}
	p.Voters = decodeVoters(sections, faults)
	resolveKeys(&p, &keys, faults)
	fillAddresses(&p)
	folder := filepath.Dir(faults.file)
	p.DataFolder = resolvePath(folder, p.DataFolder)
	p.Tree = resolvePath(folder, p.Tree)
	return &p
}

// processPart decodes one section of a process file.
type processPart struct {
	kind   string
	decode func(sections []section, faults *collector)
}

func sectionPart[T any](s *schema[T], target *T) processPart {
	return processPart{
		kind: s.kind,
		decode: func(sections []section, faults *collector) {
			s.setDefaults(target)
			matching := section{name: s.kind}
			for _, sec := range sections {
				if sec.name == s.kind {
					matching = sec
				}
			}
			s.decode(target, matching, faults)
		},
	}
}

func decodeVoters(sections []section, faults *collector) []Member {
	var voters []Member
	for _, sec := range sections {
		if sec.name != votersKind {
			continue
		}
		for _, k := range sec.keys {
			voters = append(voters, decodeVoter(k, faults))
		}
	}
	sort.Slice(voters, func(i, j int) bool { return voters[i].ID < voters[j].ID })
	return voters
}

func decodeVoter(k keyValue, faults *collector) Member {
	if k.repeated {
		faults.add(votersKind, k.name, "voter is given twice", "each voter once")
	}
	if _, err := plainName().parse(k.name); err != nil {
		faults.add(votersKind, k.name, "bad name of a voter", nameAllowed)
	}
	if _, err := address().parse(k.text); err != nil {
		faults.add(votersKind, k.name, "value "+quote(k.text)+" does not fit", addressAllowed)
	}
	return Member{ID: k.name, Address: k.text}
}

func fillAddresses(p *Process) {
	if p.Advertise == "" {
		p.Advertise = p.Listen
	}
	if p.ControlAdvertise == "" {
		p.ControlAdvertise = p.ControlListen
	}
}

// checkProcess checks constraints that involve more than one key.
func checkProcess(p *Process, faults *collector) {
	if p.Voter && p.DataFolder == "" {
		faults.add(processSchema.kind, "data_folder", "a voter needs a data folder", "a path")
	}
	if len(p.Voters) == 0 {
		faults.add(votersKind, "", "there is no voter", "NAME = host:port for each voter of the control group")
	}
	if len(p.Voters)%2 == 0 && len(p.Voters) > 0 {
		faults.add(votersKind, "", "an even number of voters bears no more losses than one fewer", "1, 3, 5 or 7 voters")
	}
	seen := map[string]string{}
	for _, v := range p.Voters {
		if other, taken := seen[v.Address]; taken {
			faults.add(votersKind, v.ID, "same address as voter "+other, "different addresses")
		}
		seen[v.Address] = v.ID
	}
	checkListenAddresses(p, faults)
}
