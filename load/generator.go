package load

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// One in unstreamedOneIn prompts requests a single JSON answer instead of a stream.
const unstreamedOneIn = 10

// generator generates the requests of a run. The same seed gives the same requests,
// except for their idempotency keys, which must be new in each run.
type generator struct {
	mix         Mix
	rate        float64 // requests a second
	random      *rand.Rand
	seed        uint64
	totalWeight int // sum of the class weights
	number      int
	after       time.Duration

	noRepeatOneIn int // one in so many prompts must not be repeated; 0: none
}

func newGenerator(mix Mix, rate float64, seed uint64) *generator {
	g := &generator{mix: mix, rate: rate, seed: seed, random: rand.New(rand.NewPCG(seed, 0))}
	for i := range mix.Classes {
		g.totalWeight += mix.Classes[i].Weight
	}
	return g
}

// next returns the next request. The times between requests are exponentially
// distributed, as for independent callers that do not wait for each other.
func (g *generator) next() (*Work, error) {
	g.after += time.Duration(g.random.ExpFloat64() / g.rate * float64(time.Second))
	g.number++
	class := g.class()
	w := &Work{
		Number:       g.number,
		After:        g.after,
		Class:        class,
		Organisation: class.Organisations[g.random.IntN(len(class.Organisations))],
	}
	if class.Prompt != nil {
		g.fillPrompt(w, class.Prompt)
		if g.noRepeatOneIn > 0 && w.Number%g.noRepeatOneIn == 0 {
			return w, w.addKey()
		}
		return w, nil
	}
	return w, g.fillCall(w, class.Call)
}

func (g *generator) class() *Class {
	pick := g.random.IntN(g.totalWeight)
	for i := range g.mix.Classes {
		class := &g.mix.Classes[i]
		if pick < class.Weight {
			return class
		}
		pick -= class.Weight
	}
	return &g.mix.Classes[0]
}

// fillPrompt chooses a prompt whose length is log-uniform between the limits of the
// class: short prompts are frequent, and every length occurs.
func (g *generator) fillPrompt(w *Work, shape *PromptShape) {
	logMin, logMax := math.Log(float64(shape.MinTokens)), math.Log(float64(shape.MaxTokens))
	tokens := int(math.Round(math.Exp(logMin + g.random.Float64()*(logMax-logMin))))
	subject := g.seed<<32 ^ uint64(g.random.IntN(shape.Subjects))<<8 ^ uint64(len(w.Class.Name))
	w.Prompt = newPrompt(subject, g.random.Uint64(), tokens, shape.AnswerTokens)
	w.Stream = g.random.IntN(unstreamedOneIn) != 0
}

// callBody is the body of a service call.
type callBody struct {
	Organisation string `json:"organisation"`
	Number       int    `json:"number"`
	Nonce        uint64 `json:"nonce"`
}

func (g *generator) fillCall(w *Work, shape *CallShape) error {
	body, err := json.Marshal(&callBody{Organisation: w.Organisation, Number: w.Number, Nonce: g.random.Uint64()})
	if err != nil {
		return errors.Wrap(err, "encode a call")
	}
	w.Body = body
	if !shape.NoRepeat {
		return nil
	}
	return w.addKey()
}

// addKey marks the work as not to be repeated by giving it an idempotency key. The
// key is a UUIDv7, which contains the current time.
func (w *Work) addKey() error {
	key, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "make a key")
	}
	w.Key = key.String()
	return nil
}
