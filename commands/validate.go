package commands

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"

	"monsoondale/core"
	"monsoondale/core/workspace"
	"monsoondale/instance"
)

// validateCmd checks settings, templates and workspaces without a server.
type validateCmd struct {
	Settings string   `placeholder:"FILE" predictor:"file" help:"Settings file to check."`
	Files    []string `arg:"" optional:"" name:"file" predictor:"file" help:"Templates and workspaces, which are checked together; - reads standard input."`
}

// Run reports all violations. It checks the workspaces against the templates among the files.
func (c *validateCmd) Run(s *streams) error {
	if c.Settings == "" && len(c.Files) == 0 {
		return usagef("name at least one file")
	}
	v := validation{s: s, compiler: workspace.NewCompiler()}
	if c.Settings != "" {
		v.checkSettings(c.Settings)
	}
	var objects []workspace.Object
	for _, path := range c.Files {
		o, err := readDocument(s, path)
		v.addError(path, err)
		if err == nil {
			objects = append(objects, o)
		}
	}
	// Templates come first, because workspaces are checked against them.
	for _, kind := range []string{workspace.ObjectTemplate, workspace.ObjectWorkspace} {
		for _, o := range objects {
			if o.Kind == kind {
				v.checkObject(o)
			}
		}
	}
	if len(v.details) > 0 {
		return core.Errorf(v.code, "%s", strings.Join(v.details, "\n"))
	}
	return nil
}

// validation collects the violations in a set of files.
type validation struct {
	s        *streams
	compiler *workspace.Compiler
	version  core.Revision
	code     core.Code
	details  []string
}

func (v *validation) checkSettings(path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		v.addError(path, core.Errorf(core.CodeBadSettings, "cannot read the settings: %v", err))
		return
	}
	_, err = instance.CheckSettings(path, data)
	v.addError(path, err)
	if err == nil {
		fmt.Fprintf(v.s.out, "%s: settings ok\n", path)
	}
}

func (v *validation) checkObject(o workspace.Object) {
	if v.compiler.Version(o.Kind, o.Name) > 0 {
		v.addError(o.File, core.Errorf(core.CodeBadTemplate, "%s: %s %q is in two files; rename or remove one", o.File, o.Kind, o.Name))
		return
	}
	_, err := v.compiler.Check(o)
	v.addError(o.File, err)
	if err != nil {
		return
	}
	v.version++
	o.Version = v.version
	v.compiler.Apply(o)
	fmt.Fprintf(v.s.out, "%s: %s %q ok\n", o.File, o.Kind, o.Name)
}

func (v *validation) addError(path string, err error) {
	if err == nil {
		return
	}
	var e *core.Error
	if !errors.As(err, &e) {
		e = core.Errorf(core.CodeBadTemplate, "%s: %v", path, err)
	}
	v.code = e.Code
	v.details = append(v.details, e.Detail)
}
