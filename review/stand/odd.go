package main

import (
	"maps"
	"strings"
	"time"

	"review/internal/wire"
)

// odd sends submissions that lack a field, are out of range or can never run, to all controllers, and looks whether any
// is accepted, or known afterwards. It is no case; it looks for some.
func odd(rec *recorder, _ bool) *world {
	w := newWorld(rec, hangula(), []breed{kudu})
	w.cloud.initial(0, "windhoek")
	w.startAll()
	w.submit(lessonServe("wk-000900", "shikongo-ops", 1, ""), 0)
	base := markingRuns("wk-000001", "ndapewa-marking", 2, "", time.Second).body()
	n := 0
	try := func(what string, want int, change func(m map[string]any)) {
		for i := range w.ctl {
			n++
			m := maps.Clone(base)
			id := "wk-" + strings.Repeat("0", 5) + string(rune('0'+n/100)) + string(rune('0'+n/10%10)) + string(rune('0'+n%10))
			m["ref"] = id
			change(m)
			status, reply := call("POST", "http://"+w.ctl[i].front+"/api/jobs", m, 5*time.Second)
			later := 0
			if id == m["ref"] {
				later, _ = w.poll(id, (i+1)%3)
			}
			rec.add("%s at %s: %d %v, then GET %d", what, w.ctl[i].name, status, reply, later)
			if status != want {
				w.breakRule("odd request: %s got %d, not %d", what, status, want)
			}
			if want >= 400 && later == 200 {
				w.breakRule("invented: %s got %d and is known afterwards", what, status)
			}
		}
	}
	for field := range base {
		if field == wire.Breeds || field == "field" || field == wire.DueS {
			try("null "+field, 201, func(m map[string]any) { m[field] = nil })
			try("no "+field, 201, func(m map[string]any) { delete(m, field) })
			continue
		}
		try("no "+field, 400, func(m map[string]any) { delete(m, field) })
		try("null "+field, 400, func(m map[string]any) { m[field] = nil })
		try("list "+field, 400, func(m map[string]any) { m[field] = []any{} })
	}
	for _, field := range []string{"cores", "cards", "memoryGb", "imageGb", wire.ExpectS, wire.MarkS, wire.StoreS, wire.DueS} {
		try("negative "+field, 400, func(m map[string]any) { m[field] = -1.0 })
		try("text "+field, 400, func(m map[string]any) { m[field] = "x" })
	}
	try("rows 0", 400, func(m map[string]any) { m["rows"] = uint64(0) })
	try("rows 100001", 400, func(m map[string]any) { m["rows"] = uint64(100001) })
	try("rows -1", 400, func(m map[string]any) { m["rows"] = -1 })
	try("shape", 400, func(m map[string]any) { m["shape"] = "x" })
	try("rank", 400, func(m map[string]any) { m["rank"] = "x" })
	try("ref", 400, func(m map[string]any) { m["ref"] = "x" })
	try("owner", 422, func(m map[string]any) { m["owner"] = "nobody" })
	try("field", 422, func(m map[string]any) { m["field"] = "nowhere" })
	try(wire.Breeds, 422, func(m map[string]any) { m[wire.Breeds] = []string{"none"} })
	try("cores 9", 422, func(m map[string]any) { m["cores"] = 9.0 })
	try("cards 1", 422, func(m map[string]any) { m["cards"] = 1.0 })
	try("memoryGb 65", 422, func(m map[string]any) { m["memoryGb"] = 65.0 })
	try("gang over the limit", 422, func(m map[string]any) { m["shape"], m["rows"] = wire.Ensemble, uint64(45) })
	try("service over the limit", 422, func(m map[string]any) { m["shape"], m["rows"] = wire.Daemon, uint64(45) })
	try("awaits unknown", 422, func(m map[string]any) { m["awaits"] = []string{"wk-777777"} })
	try("awaits itself", 422, func(m map[string]any) { m["awaits"] = []string{m["ref"].(string)} })
	try("awaits a service", 422, func(m map[string]any) { m["awaits"] = []string{"wk-000900"} })
	try("spread gang in one zone", 422, func(m map[string]any) { m["shape"], m["oneZone"], m[wire.Scatter] = wire.Ensemble, true, true })
	for i := range w.ctl {
		for _, body := range [][]byte{{}, {0xc1}, []byte("{}"), {0x93, 1, 2, 3}, enc(base)[:40], append(enc(base), 0)} {
			status, _ := call("POST", "http://"+w.ctl[i].front+"/api/jobs", body, 5*time.Second)
			if status != 400 {
				w.breakRule("odd request: body %x got %d", body[:min(len(body), 8)], status)
			}
		}
		if status, _ := w.poll("wk-555555", i); status != 404 {
			w.breakRule("invented: unknown job got %d", status)
		}
		if status, _ := w.withdraw("wk-555555", i); status == 200 {
			w.breakRule("invented: unknown job is cancelled")
		}
	}
	return w
}
