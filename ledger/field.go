package ledger

import (
	"time"

	"celeryport/verdict"
)

// Field identifies one counter of a series. Counters only increase, so two states
// of one incarnation merge by taking the greater value of each field. The packed
// form of kind, detail and bin is sent between instances.
type Field uint32

// FieldKind is the first part of a Field. The numbers are exchanged between
// instances of different versions: add new kinds at the end and never renumber.
type FieldKind uint8

// The kinds of counters.
const (
	KindReceived         FieldKind = iota + 1
	KindServed                     // complete answers, including late ones
	KindLate                       // served answers that missed their deadline
	KindRefused                    // detail: reason
	KindFailed                     // detail: reason and verdict
	KindPromptTokens               // of served requests
	KindAnswerTokens               //
	KindCachedTokens               // prompt tokens served from prefix caches
	KindFirstTokenMet              // answers to short prompts within the objective
	KindFirstTokenMissed           //
	KindSlowdownMet                // answers to short prompts within the slowdown bound
	KindSlowdownMissed             //
	KindFirstToken                 // detail: length bucket; bin: time to first token
	KindTokenGap                   // detail: length bucket; bin: mean time between tokens
	KindTotal                      // bin: time from arrival to the end of a service call
)

const (
	kindShift   = 24
	detailShift = 16
	detailMask  = 0xff
	binMask     = 0xffff
	verdictBits = 2
	verdictMask = 1<<verdictBits - 1
)

func plainField(kind FieldKind) Field { return Field(kind) << kindShift }

func detailField(kind FieldKind, detail uint8) Field {
	return plainField(kind) | Field(detail)<<detailShift
}

func refusedField(reason verdict.Reason) Field {
	return detailField(KindRefused, reasonNumber(reason))
}

func failedField(reason verdict.Reason, v verdict.Verdict) Field {
	return detailField(KindFailed, reasonNumber(reason)<<verdictBits|uint8(v)&verdictMask)
}

func binField(kind FieldKind, length Length, bin uint16) Field {
	return detailField(kind, uint8(length)) | Field(bin)
}

// Kind returns the kind of the counter.
func (f Field) Kind() FieldKind { return FieldKind(f >> kindShift) }

// Reason returns the reason for a refusal or failure.
func (f Field) Reason() verdict.Reason {
	if f.Kind() == KindFailed {
		return reasonOf(f.detail() >> verdictBits)
	}
	return reasonOf(f.detail())
}

// Verdict returns the verdict of a failure.
func (f Field) Verdict() verdict.Verdict { return verdict.Verdict(f.detail() & verdictMask) }

// Length returns the length bucket of a latency.
func (f Field) Length() Length { return Length(f.detail()) }

// Value returns the midpoint of a latency bin.
func (f Field) Value() time.Duration { return time.Duration(binMidpoint(f.bin())) * time.Microsecond }

// isBin reports whether the counter is a latency bin.
func (f Field) isBin() bool { return f.Kind() >= KindFirstToken && f.Kind() <= KindTotal }

func (f Field) detail() uint8 { return uint8(f >> detailShift & detailMask) }

func (f Field) bin() uint16 { return uint16(f & binMask) }
