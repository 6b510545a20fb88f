package workspace

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"

	"monsoondale/common/jsonc"
	"monsoondale/core"
	"monsoondale/wire/config"
)

// Limits of a template and its kinds. MaxKinds keeps the linear search for a kind short.
const (
	MaxKinds    = 64
	MaxParams   = 64
	MaxWeight   = 10_000
	MaxDeadline = 24 * time.Hour
	MaxTokens   = 1_000_000
)

var (
	objectName = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	paramName  = regexp.MustCompile(`^[a-z][a-z0-9_]{0,31}$`)
	kindName   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,63}$`)
	poolName   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	modelName  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	pathPrefix = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)+/?$`)
	reference  = regexp.MustCompile(`\$\{([^}]*)\}`)
	methodName = regexp.MustCompile(`^(GET|HEAD|POST|PUT|PATCH|DELETE)$`)
)

const (
	objectNameRule = "use 1 to 63 lower-case letters, digits and hyphens, starting with a letter or digit"
	paramNameRule  = "use 1 to 32 lower-case letters, digits and underscores, starting with a letter"
	kindNameRule   = "use 1 to 64 letters, digits and . _ : / -, starting with a letter or digit"
	poolNameRule   = "use 1 to 64 letters, digits and . _ -, starting with a letter or digit"
	modelNameRule  = "use 1 to 128 letters, digits and . _ : / -, starting with a letter or digit"
	methodRule     = "use GET, HEAD, POST, PUT, PATCH or DELETE, or leave it empty for any"
	pathRule       = "use a path such as /orders/new, of letters, digits and . _ ~ -"
)

// param is a parameter of a template. Values are int64, float64, string, time.Duration or bool.
type param struct {
	name         string
	typ          config.ParamType
	defaultValue any // nil if each workspace must set the parameter
	min, max     any // nil for no bound; for strings the length in bytes as int64
	values       []string
}

// template is a parsed and checked template.
type template struct {
	id         core.TemplateID
	params     []param
	paramIndex map[string]int
	share      expr
	kinds      []kindExprs
	kindParams []int // indexes of the parameters that the kinds depend on
}

// kindExprs holds the fields of one kind before substitution.
type kindExprs struct {
	name, tier, pool, service, method, path, once, deadline, tokens expr
	model, adapter, version                                         expr
}

// expr is a field value with references to parameters. A constant has no parts. A single reference evaluates to the
// value of its parameter, several parts evaluate to a string.
type expr struct {
	constant any
	parts    []part
	params   []int
}

// part is a literal, or a reference if param is not negative.
type part struct {
	literal string
	param   int
}

// eval returns the value of the expression for the given parameter values.
func (x expr) eval(values []any) any {
	switch {
	case len(x.parts) == 0:
		return x.constant
	case len(x.parts) == 1:
		return values[x.parts[0].param]
	}
	var b strings.Builder
	for _, p := range x.parts {
		if p.param < 0 {
			b.WriteString(p.literal)
		} else {
			b.WriteString(formatValue(values[p.param]))
		}
	}
	return b.String()
}

// formatValue formats a parameter value for substitution into a string.
func formatValue(v any) string { return fmt.Sprint(v) }

// reporter collects the errors of one document.
type reporter struct {
	doc  *jsonc.Document
	errs jsonc.ErrorList
}

// report adds an error at a field, unless the same error was reported before.
func (r *reporter) report(field, problem, remedy string) {
	e := r.doc.ErrorAt(field, problem, remedy)
	if !slices.Contains(r.errs, e) {
		r.errs = append(r.errs, e)
	}
}

// parseTemplate parses and checks a template document. name is the name of the object that holds it.
func parseTemplate(file, name, text string) (*template, jsonc.ErrorList) {
	spec, doc, err := jsonc.Parse[config.Template](file, []byte(text))
	if err != nil {
		return nil, err.(jsonc.ErrorList)
	}
	r := &reporter{doc: doc}
	checkName(r, "template", spec.Template, name)
	t := &template{id: core.TemplateID(spec.Template), paramIndex: map[string]int{}}
	t.parseParams(r, spec.Params)
	t.share = t.parseExpr(r, "share", spec.Share, config.ParamTypeInt)
	if spec.Share == nil {
		t.share = expr{constant: float64(1)}
	}
	switch {
	case len(spec.Kinds) == 0:
		r.report("kinds", "the template has no kinds of work", "add at least one")
	case len(spec.Kinds) > MaxKinds:
		r.report("kinds", fmt.Sprintf("%d kinds of work", len(spec.Kinds)), fmt.Sprintf("use at most %d", MaxKinds))
	}
	for i, k := range spec.Kinds {
		fieldPath := func(f string) string { return fmt.Sprintf("kinds[%d].%s", i, f) }
		t.kinds = append(t.kinds, kindExprs{
			name:     t.parseExpr(r, fieldPath("name"), k.Name, config.ParamTypeString),
			tier:     t.parseExpr(r, fieldPath("tier"), k.Tier, config.ParamTypeInt),
			pool:     t.parseExpr(r, fieldPath("pool"), k.Pool, config.ParamTypeString),
			service:  t.parseExpr(r, fieldPath("service"), k.Service, config.ParamTypeString),
			method:   t.parseExpr(r, fieldPath("method"), k.Method, config.ParamTypeString),
			path:     t.parseExpr(r, fieldPath("path"), k.Path, config.ParamTypeString),
			once:     t.parseExpr(r, fieldPath("once"), k.Once, config.ParamTypeBool),
			deadline: t.parseExpr(r, fieldPath("deadline"), k.Deadline, config.ParamTypeString),
			tokens:   t.parseExpr(r, fieldPath("tokens"), k.Tokens, config.ParamTypeInt),
			model:    t.parseExpr(r, fieldPath("model"), k.Model, config.ParamTypeString),
			adapter:  t.parseExpr(r, fieldPath("adapter"), k.Adapter, config.ParamTypeString),
			version:  t.parseExpr(r, fieldPath("version"), k.Version, config.ParamTypeString),
		})
	}
	if len(r.errs) > 0 {
		return nil, r.errs
	}
	used := map[int]bool{}
	for _, k := range t.kinds {
		for _, x := range k.fields() {
			for _, p := range x.params {
				used[p] = true
			}
		}
	}
	t.kindParams = lo.Keys(used)
	slices.Sort(t.kindParams)
	t.checkParamRanges(r)
	if len(r.errs) > 0 {
		return nil, r.errs
	}
	return t, nil
}

func (k *kindExprs) fields() []expr {
	return []expr{k.name, k.tier, k.pool, k.service, k.method, k.path, k.once, k.deadline, k.tokens, k.model, k.adapter, k.version}
}

func checkName(r *reporter, field, name, storedName string) {
	if !objectName.MatchString(name) {
		r.report(field, fmt.Sprintf("%q is not a valid name", name), objectNameRule)
	} else if name != storedName {
		r.report(field, fmt.Sprintf("the document is named %q but is stored as %q", name, storedName), "use the same name for both")
	}
}

func (t *template) parseParams(r *reporter, params []config.Param) {
	if len(params) > MaxParams {
		r.report("params", fmt.Sprintf("%d parameters", len(params)), fmt.Sprintf("use at most %d", MaxParams))
	}
	for i, spec := range params {
		fieldPath := func(f string) string { return fmt.Sprintf("params[%d].%s", i, f) }
		p := param{name: spec.Name, typ: spec.Type, values: spec.Values}
		if !paramName.MatchString(spec.Name) {
			r.report(fieldPath("name"), fmt.Sprintf("%q is not a valid parameter name", spec.Name), paramNameRule)
		}
		if _, ok := t.paramIndex[spec.Name]; ok {
			r.report(fieldPath("name"), fmt.Sprintf("parameter %q is defined twice", spec.Name), "rename or remove one")
		}
		t.paramIndex[spec.Name] = len(t.params)
		if !p.parseBounds(r, fieldPath, spec) {
			t.params = append(t.params, p)
			continue
		}
		if spec.Default != nil {
			v, problem, remedy := p.convert(spec.Default)
			if problem != "" {
				r.report(fieldPath("default"), problem, remedy)
			}
			p.defaultValue = v
		}
		t.params = append(t.params, p)
	}
}

// parseBounds checks type, min, max and values. It returns false if the type is unknown, so that no value can be
// converted.
func (p *param) parseBounds(r *reporter, fieldPath func(string) string, spec config.Param) bool {
	bounds := *p
	if p.typ == config.ParamTypeString {
		bounds.typ = config.ParamTypeInt // the bounds of a string are lengths
	}
	set := func(field string, raw any, dst *any) {
		if raw == nil {
			return
		}
		v, problem, remedy := (&param{typ: bounds.typ}).convert(raw)
		if problem != "" {
			r.report(fieldPath(field), problem, remedy)
		}
		*dst = v
	}
	switch p.typ {
	case config.ParamTypeInt, config.ParamTypeNumber, config.ParamTypeDuration, config.ParamTypeString:
		set("min", spec.Min, &p.min)
		set("max", spec.Max, &p.max)
		if spec.Values != nil {
			r.report(fieldPath("values"), fmt.Sprintf("a parameter of type %s has no values", p.typ), "remove values, or use type enum")
		}
		if p.min != nil && p.max != nil && less(p.max, p.min) {
			r.report(fieldPath("max"), fmt.Sprintf("the maximum %v is below the minimum %v", p.max, p.min), "raise max or lower min")
		}
	case config.ParamTypeBool, config.ParamTypeEnum:
		if spec.Min != nil || spec.Max != nil {
			r.report(fieldPath(lo.Ternary(spec.Min != nil, "min", "max")), fmt.Sprintf("a parameter of type %s has no bounds", p.typ), "remove min and max")
		}
		if p.typ == config.ParamTypeEnum && len(spec.Values) == 0 {
			r.report(fieldPath("values"), "an enum needs values", `list them, such as ["low","high"]`)
		}
		if p.typ == config.ParamTypeBool && spec.Values != nil {
			r.report(fieldPath("values"), "a parameter of type bool has no values", "remove values, or use type enum")
		}
		if d := lo.FindDuplicates(spec.Values); len(d) > 0 {
			r.report(fieldPath("values"), fmt.Sprintf("%q is listed twice", d[0]), "remove one of them")
		}
	default:
		r.report(fieldPath("type"), fmt.Sprintf("%q is not a parameter type", p.typ), "use int, number, string, duration, bool or enum")
		return false
	}
	return true
}

// convert converts a JSON value to the type of the parameter and checks its bounds. On a violation it returns no value,
// but the problem and its remedy.
func (p *param) convert(raw any) (v any, problem, remedy string) {
	switch p.typ {
	case config.ParamTypeInt:
		f, ok := raw.(float64)
		// A float64, which holds JSON numbers, represents whole numbers exactly up to 1<<53.
		if !ok || f != math.Trunc(f) || math.Abs(f) > 1<<53 {
			return nil, quoteValue(raw) + " is not a whole number", "use a number such as 10, without quotes"
		}
		v = int64(f)
	case config.ParamTypeNumber:
		f, ok := raw.(float64)
		if !ok {
			return nil, quoteValue(raw) + " is not a number", "use a number such as 0.5, without quotes"
		}
		v = f
	case config.ParamTypeDuration:
		s, _ := raw.(string)
		d, err := time.ParseDuration(s)
		if err != nil {
			return nil, quoteValue(raw) + " is not a duration", `use a string such as "20s" or "1m30s"`
		}
		v = d
	case config.ParamTypeBool:
		b, ok := raw.(bool)
		if !ok {
			return nil, quoteValue(raw) + " is neither true nor false", "use true or false, without quotes"
		}
		return b, "", ""
	case config.ParamTypeEnum:
		s, ok := raw.(string)
		if !ok || !slices.Contains(p.values, s) {
			return nil, quoteValue(raw) + " is not one of the values", "use " + strings.Join(lo.Map(p.values, func(s string, _ int) string { return strconv.Quote(s) }), " or ")
		}
		return s, "", ""
	case config.ParamTypeString:
		s, ok := raw.(string)
		if !ok {
			return nil, quoteValue(raw) + " is not a string", "use a string in double quotes"
		}
		if n := int64(len(s)); p.min != nil && n < p.min.(int64) || p.max != nil && n > p.max.(int64) {
			return nil, fmt.Sprintf("%q has %d bytes", s, n), "use a string of " + p.rangeText() + " bytes"
		}
		return s, "", ""
	}
	if p.min != nil && less(v, p.min) || p.max != nil && less(p.max, v) {
		return nil, fmt.Sprintf("%v is out of range", v), "use a value of " + p.rangeText()
	}
	return v, "", ""
}

func (p *param) rangeText() string {
	switch {
	case p.min == nil:
		return fmt.Sprintf("at most %v", p.max)
	case p.max == nil:
		return fmt.Sprintf("at least %v", p.min)
	}
	return fmt.Sprintf("%v to %v", p.min, p.max)
}

func quoteValue(raw any) string {
	switch x := raw.(type) {
	case string:
		return strconv.Quote(x)
	case nil:
		return "null"
	}
	return fmt.Sprint(raw)
}

// less reports whether a is less than b. Both must have the same ordered parameter type.
func less(a, b any) bool {
	switch x := a.(type) {
	case int64:
		y, ok := b.(int64)
		return ok && x < y
	case float64:
		y, ok := b.(float64)
		return ok && x < y
	case time.Duration:
		y, ok := b.(time.Duration)
		return ok && x < y
	}
	return false
}

// parseExpr splits a field value into literals and references. want is the type that the field needs.
func (t *template) parseExpr(r *reporter, field string, raw any, want config.ParamType) expr {
	s, ok := raw.(string)
	if !ok || !strings.Contains(s, "${") {
		return expr{constant: raw}
	}
	var x expr
	end := 0
	for _, m := range reference.FindAllStringSubmatchIndex(s, -1) {
		if m[0] > end {
			x.parts = append(x.parts, part{literal: s[end:m[0]], param: -1})
		}
		name := s[m[2]:m[3]]
		i, ok := t.paramIndex[name]
		if !ok {
			r.report(field, fmt.Sprintf("there is no parameter %q", name), "define it in params, or use "+t.paramNames())
			return expr{}
		}
		x.parts = append(x.parts, part{param: i})
		x.params = append(x.params, i)
		end = m[1]
	}
	if end < len(s) {
		x.parts = append(x.parts, part{literal: s[end:], param: -1})
	}
	if rest := reference.ReplaceAllString(s, ""); strings.Contains(rest, "${") {
		r.report(field, "a reference is not closed", "write it as ${name}")
		return expr{}
	}
	if want == config.ParamTypeString {
		return x
	}
	if len(x.parts) != 1 {
		r.report(field, fmt.Sprintf("%q mixes a reference with text in a field of type %s", s, want), "use a single reference")
		return expr{}
	}
	if got := t.params[x.parts[0].param].typ; got != want {
		r.report(field, fmt.Sprintf("parameter %q is of type %s", t.params[x.parts[0].param].name, got), fmt.Sprintf("use a parameter of type %s", want))
		return expr{}
	}
	return x
}

func (t *template) paramNames() string {
	if len(t.params) == 0 {
		return "a constant"
	}
	return strings.Join(lo.Map(t.params, func(p param, _ int) string { return p.name }), ", ")
}

// reportFunc reports a violation in a compiled field. params are the indexes of the parameters that the field depends
// on.
type reportFunc func(field string, params []int, problem, remedy string)

// checkParamRanges compiles the template with its defaults, and then with each parameter in turn at its bounds or at
// each of its values, so that a template that would permit an invalid workspace is refused.
func (t *template) checkParamRanges(r *reporter) {
	base := lo.Map(t.params, func(p param, _ int) any { return p.defaultValue })
	compileWith := func(values []any, note string) {
		report := func(field string, params []int, problem, remedy string) {
			if lo.EveryBy(params, func(i int) bool { return values[i] != nil }) {
				r.report(field, problem+note, remedy)
			}
		}
		t.weight(values, report)
		t.compileKinds(values, report)
	}
	compileWith(base, "")
	if len(r.errs) > 0 {
		return
	}
	for i, p := range t.params {
		var cases []any
		switch p.typ {
		case config.ParamTypeEnum:
			cases = lo.ToAnySlice(p.values)
		case config.ParamTypeBool:
			cases = []any{true, false}
		case config.ParamTypeInt, config.ParamTypeNumber, config.ParamTypeDuration:
			cases = lo.Filter([]any{p.min, p.max}, func(v any, _ int) bool { return v != nil })
		}
		for _, v := range cases {
			values := slices.Clone(base)
			values[i] = v
			compileWith(values, fmt.Sprintf(" if %s is %v", p.name, v))
		}
	}
}

func (t *template) weight(values []any, report reportFunc) core.Weight {
	n, ok := asInteger(t.share.eval(values))
	if !ok || n < 1 || n > MaxWeight {
		report("share", t.share.params, fmt.Sprintf("the share is %s", quoteValue(t.share.eval(values))), fmt.Sprintf("use a whole number of 1 to %d", MaxWeight))
		return 0
	}
	return core.Weight(n)
}

// compileKinds substitutes the parameter values in all kinds and checks the result.
func (t *template) compileKinds(values []any, report reportFunc) []Kind {
	kinds := make([]Kind, len(t.kinds))
	for i := range t.kinds {
		kinds[i] = t.kinds[i].compile(values, func(field string, params []int, problem, remedy string) {
			report(fmt.Sprintf("kinds[%d].%s", i, field), params, problem, remedy)
		})
	}
	for i := range kinds {
		for j := range i {
			t.checkOverlap(kinds, i, j, report)
		}
	}
	return kinds
}

// checkOverlap reports kind i if the earlier kind j has the same name or matches all of its requests.
func (t *template) checkOverlap(kinds []Kind, i, j int, report reportFunc) {
	a, b := &kinds[j], &kinds[i]
	fieldPath := func(f string) string { return fmt.Sprintf("kinds[%d].%s", i, f) }
	if a.ID == b.ID && a.ID != "" {
		report(fieldPath("name"), slices.Concat(t.kinds[i].name.params, t.kinds[j].name.params), fmt.Sprintf("kinds[%d] is also named %q", j, a.ID), "rename one of them")
	}
	if a.Service != "" && a.Service == b.Service && (a.Method == "" || a.Method == b.Method) && hasPathPrefix(a.Path, b.Path) {
		var params []int
		for _, k := range []int{i, j} {
			params = slices.Concat(params, t.kinds[k].service.params, t.kinds[k].method.params, t.kinds[k].path.params)
		}
		report(fieldPath("path"), params, fmt.Sprintf("kinds[%d] matches every request of this kind first", j), fmt.Sprintf("place it before kinds[%d]", j))
	}
}

// compile substitutes the parameter values in a kind and checks the result.
func (k *kindExprs) compile(values []any, report reportFunc) Kind {
	str := func(field string, x expr, rule *regexp.Regexp, required bool, remedy string) string {
		v := x.eval(values)
		s, ok := v.(string)
		if !ok && v != nil {
			s = formatValue(v)
		}
		switch {
		case s == "" && required:
			report(field, x.params, "the field is missing or empty", remedy)
		case s != "" && !rule.MatchString(s):
			report(field, x.params, fmt.Sprintf("%q is not valid", s), remedy)
		}
		return s
	}
	num := func(field string, x expr, required bool, high int64) int64 {
		v := x.eval(values)
		if v == nil && !required {
			return 0
		}
		n, ok := asInteger(v)
		remedy := fmt.Sprintf("use a whole number of 0 to %d", high)
		switch {
		case v == nil:
			report(field, x.params, "the field is missing", remedy)
		case !ok || n < 0 || n > high:
			report(field, x.params, quoteValue(v)+" is not valid", remedy)
		}
		return n
	}
	out := Kind{
		ID:              core.KindID(str("name", k.name, kindName, true, kindNameRule)),
		Tier:            core.Tier(num("tier", k.tier, true, core.Tiers-1)),
		Pool:            core.Pool(str("pool", k.pool, poolName, true, poolNameRule)),
		Service:         str("service", k.service, poolName, false, poolNameRule),
		Method:          str("method", k.method, methodName, false, methodRule),
		Path:            str("path", k.path, pathPrefix, false, pathRule),
		EstimatedTokens: core.Tokens(num("tokens", k.tokens, false, MaxTokens)),
		ModelSpec: ModelSpec{
			Model:   str("model", k.model, modelName, false, modelNameRule),
			Adapter: str("adapter", k.adapter, modelName, false, modelNameRule),
			Version: str("version", k.version, modelName, false, modelNameRule),
		},
	}
	if out.ModelSpec != (ModelSpec{}) {
		params := slices.Concat(k.model.params, k.adapter.params, k.version.params, k.service.params)
		switch {
		case out.Service != "":
			report("model", params, "a kind with a service has no model, adapter or version", "remove them or the service")
		case out.ModelSpec.Model == "":
			report("model", params, "adapter and version need a model", "add model")
		}
	}
	if out.Service == "" {
		if out.Method != "" {
			report("method", slices.Concat(k.method.params, k.service.params), "only a kind with a service has a method", "remove it or add service")
		}
		if out.Path != "" {
			report("path", slices.Concat(k.path.params, k.service.params), "only a kind with a service has a path", "remove it or add service")
		}
	}
	switch v := k.once.eval(values).(type) {
	case nil:
	case bool:
		out.AtMostOnce = v
	default:
		report("once", k.once.params, quoteValue(v)+" is neither true nor false", "use true or false, without quotes")
	}
	switch v := k.deadline.eval(values).(type) {
	case nil:
	case time.Duration:
		out.Deadline = v
	default:
		if s := formatValue(v); s != "" {
			d, err := time.ParseDuration(s)
			if err != nil {
				report("deadline", k.deadline.params, fmt.Sprintf("%q is not a duration", s), `use a string such as "20s" or "1m30s"`)
			}
			out.Deadline = d
		}
	}
	if out.Deadline < 0 || out.Deadline > MaxDeadline {
		report("deadline", k.deadline.params, fmt.Sprintf("%v is out of range", out.Deadline), fmt.Sprintf("use 0s (none) to %v", MaxDeadline))
	}
	return out
}

func asInteger(v any) (int64, bool) {
	switch x := v.(type) {
	case int64:
		return x, true
	case float64:
		return int64(x), x == math.Trunc(x) && math.Abs(x) <= 1<<53
	}
	return 0, false
}
