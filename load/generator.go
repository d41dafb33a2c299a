package load

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// wholeAnswerOneIn prompts asks for one JSON answer instead of a stream.
const wholeAnswerOneIn = 10

// generator makes the requests of a run, the same ones for the same seed but for
// their idempotency keys, which must be new in each run.
type generator struct {
	mix    Mix
	rate   float64 // requests a second
	random *rand.Rand
	seed   uint64
	total  int // sum of the class weights
	number int
	after  time.Duration

	noRepeatOneIn int // prompts; 0: none
}

func newGenerator(mix Mix, rate float64, seed uint64) *generator {
	g := &generator{mix: mix, rate: rate, seed: seed, random: rand.New(rand.NewPCG(seed, 0))}
	for i := range mix.Classes {
		g.total += mix.Classes[i].Weight
	}
	return g
}

// next returns the next request. The gaps are exponential: callers do not wait
// for each other's answers.
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
	pick := g.random.IntN(g.total)
	for i := range g.mix.Classes {
		class := &g.mix.Classes[i]
		if pick < class.Weight {
			return class
		}
		pick -= class.Weight
	}
	return &g.mix.Classes[0]
}

// fillPrompt draws a length between the limits of the class, evenly on a
// logarithmic scale: short ones are many, and every length occurs.
func (g *generator) fillPrompt(w *Work, shape *PromptShape) {
	least, most := math.Log(float64(shape.LeastTokens)), math.Log(float64(shape.MostTokens))
	tokens := int(math.Round(math.Exp(least + g.random.Float64()*(most-least))))
	subject := g.seed<<32 ^ uint64(g.random.IntN(shape.Subjects))<<8 ^ uint64(len(w.Class.Name))
	w.Prompt = newPrompt(subject, g.random.Uint64(), tokens, shape.AnswerTokens)
	w.Stream = g.random.IntN(wholeAnswerOneIn) != 0
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

// addKey makes the work one that must not be repeated. Its key tells the time.
func (w *Work) addKey() error {
	key, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "make a key")
	}
	w.Key = key.String()
	return nil
}
