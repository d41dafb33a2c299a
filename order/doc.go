// Package order reconciles the engines with the desired state in the settings
// tree: the models, adapters and versions that they serve. Reconciler is pure
// and makes the decisions; Driver calls the engines. It runs only on the
// instance that leads the control group and is the current issuer of orders. It
// repeatedly compares the desired state with the state reported by the engines,
// so an order that was lost, or a late order of a former issuer that was
// frozen, is corrected in the next round.
package order
