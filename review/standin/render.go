package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

var (
	templateList  = regexp.MustCompile(`(?s)\{\{#seeds\}\}\n(.*?)\{\{/seeds\}\}\n`)
	templateIf    = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}\n(.*?)\{\{/[a-z_.]+\}\}\n`)
	templateValue = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)
)

// render fills in a settings template of the deployment as the platform does.
func render(path string, seeds []string, values map[string]string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	expanded := templateList.ReplaceAllStringFunc(string(text), func(section string) string {
		var all strings.Builder
		for i, seed := range seeds {
			entry := templateList.FindStringSubmatch(section)[1]
			all.WriteString(strings.NewReplacer("{{@}}", fmt.Sprint(i), "{{.}}", seed).Replace(entry))
		}
		return all.String()
	})
	expanded = templateIf.ReplaceAllStringFunc(expanded, func(section string) string {
		found := templateIf.FindStringSubmatch(section)
		if values[found[1]] == "" {
			return ""
		}
		return found[2]
	})
	return fill(expanded, values), nil
}

// fill replaces the places of a template by their values.
func fill(text string, values map[string]string) string {
	return templateValue.ReplaceAllStringFunc(text, func(place string) string {
		return values[templateValue.FindStringSubmatch(place)[1]]
	})
}
