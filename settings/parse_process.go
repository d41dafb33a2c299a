package settings

import (
	"path/filepath"
	"sort"
)

// votersKind is the section whose keys are the voters' names.
const votersKind = "voters"

const processKinds = "[process], [listen], [control], [voters], [keys], [pools], [limits]"

// ParseProcess reads and checks the settings of one process. The error is
// Faults with everything that is wrong. Relative paths in the text are relative
// to the folder of file.
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
		partOf(&processSchema, &p),
		partOf(&listenSchema, &p),
		dutyPart(listenSchema.kind, &p),
		partOf(&controlSchema, &p),
		partOf(&keysSchema, &keys),
		dutyPart(keysSchema.kind, &p),
		partOf(&poolsSchema, &p),
		partOf(&limitsSchema, &p),
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
	p.DataFolder = beside(folder, p.DataFolder)
	p.Tree = beside(folder, p.Tree)
	return &p
}

// processPart decodes one section of a process file.
type processPart struct {
	kind   string
	decode func(sections []section, faults *collector)
}

func partOf[T any](s *schema[T], target *T) processPart {
	return processPart{
		kind: s.kind,
		decode: func(sections []section, faults *collector) {
			s.setDefaults(target)
			mine := section{name: s.kind}
			for _, sec := range sections {
				if sec.name == s.kind {
					mine = sec
				}
			}
			s.decode(target, mine, faults)
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

// checkProcess checks what no single key can show.
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
	if p.Listen != "" && p.Listen == p.ControlListen {
		faults.add(controlSchema.kind, "address", "same address as in [listen]", "different addresses")
	}
}
