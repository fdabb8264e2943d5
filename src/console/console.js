// The console's page: forms drawn from the schema, whose output is the document.
"use strict";

const STATE_INTERVAL_MS = 2000;
const CONTEXT_LINES = 3;
const FILTER_FROM_ITEMS = 12;

const state = { schema: null, drawn: null, draft: null, faults: [], change: null };
const $ = (id) => document.getElementById(id);

// ---- Small helpers -------------------------------------------------------

function element(tag, properties, ...children) {
  const made = Object.assign(document.createElement(tag), properties);
  made.append(...children);
  return made;
}

function show(id, ...content) {
  $(id).replaceChildren(...content);
  $(id).hidden = content.length === 0;
  if (content.length) $(id).focus();
}

async function call(method, path, body) {
  const headers = { "guavacove-console": "1" };
  let response;
  try {
    response = await fetch(path, { method, headers, body });
  } catch (error) {
    return { status: 0, message: "This control instance does not answer. Nothing you typed is lost; try again." };
  }
  const value = await response.json().catch(() => ({}));
  if (response.status === 401 && path !== "/sign-in") signedOut(value.message);
  return { ...value, status: response.status };
}

// ---- The schema ----------------------------------------------------------

function resolve(schema) {
  if (!schema.$ref) return schema;
  const target = state.schema.definitions[schema.$ref.split("/").pop()];
  return { ...target, ...schema };
}

// A property named like a list of the document, or like one of its members, refers to it.
function referredList(name) {
  const lists = Object.keys(state.schema.properties);
  return lists.find((list) => list === name || list === `${name}s`);
}

function names(list) {
  return (state.draft[list] || []).map((item) => item.name).filter(Boolean);
}

function emptyOf(schema) {
  const made = {};
  for (const name of schema.required || []) {
    const property = resolve(schema.properties[name]);
    made[name] = { array: [], object: {}, integer: property.minimum ?? 0, boolean: false }[property.type]
      ?? property.enum?.[0] ?? "";
  }
  return made;
}

// ---- Fields --------------------------------------------------------------

function setOrRemove(owner, name, value) {
  if (value === undefined) delete owner[name];
  else owner[name] = value;
  edited();
}

function edited() {
  state.change = null;
  $("apply").disabled = true;
  $("review").hidden = true;
  $("progress").textContent = "Not reviewed yet";
}

function label(name) {
  const words = name.replace(/_ms$/, " (ms)").replace(/_per_s$/, " a second").replaceAll("_", " ");
  return words[0].toUpperCase() + words.slice(1);
}

function faultsAt(path) {
  const here = state.faults.filter((fault) => fault.path === path);
  return here.map((fault) => element("small", { className: "fault" }, fault.message));
}

function field(schema, owner, name, path, isRequired) {
  const property = resolve(schema);
  const listed = referredList(name);
  // What a name looks like matters only where one is typed.
  const described = listed && property.pattern ? "" : property.description || "";
  const hint = element("small", {}, described);
  const faults = faultsAt(path);
  const wrap = (control) => {
    control.id = path;
    return element("label", { className: "field" }, label(name), control, hint, ...faults);
  };
  switch (true) {
    case property.type === "object":
      return nested(property, owner, name, path);
    case property.type === "array" && Boolean(listed):
      return choices(owner, name, names(listed), hint, path, faults);
    case property.type === "array":
      return wrap(textList(owner, name));
    case property.type === "boolean":
      return wrap(checkbox(owner, name, property));
    case Boolean(property.enum):
      return wrap(select(owner, name, property.enum, isRequired));
    case Boolean(listed):
      return wrap(select(owner, name, names(listed), isRequired));
    case property.type === "integer":
      return wrap(number(owner, name, property));
    case name === "key_sha256":
      return element("div", { className: "whole" }, wrap(text(owner, name, property, isRequired)), newKey(owner, name, path));
    default:
      return wrap(text(owner, name, property, isRequired));
  }
}

function text(owner, name, property, isRequired) {
  const input = element("input", { value: owner[name] ?? "", placeholder: property.default ?? "" });
  input.oninput = () => setOrRemove(owner, name, input.value || (isRequired ? "" : undefined));
  return input;
}

function number(owner, name, property) {
  const input = element("input", {
    type: "number", min: property.minimum, max: property.maximum, step: 1,
    value: owner[name] ?? "", placeholder: property.default ?? "",
  });
  input.oninput = () => setOrRemove(owner, name, input.value === "" ? undefined : Number(input.value));
  return input;
}

function checkbox(owner, name, property) {
  const input = element("input", { type: "checkbox", checked: owner[name] ?? property.default ?? false });
  input.onchange = () => setOrRemove(owner, name, input.checked);
  return input;
}

function select(owner, name, options, isRequired) {
  const current = owner[name] ?? "";
  const missing = current && !options.includes(current) ? [current] : [];
  const all = [...(isRequired && current ? [] : [""]), ...missing, ...options];
  const input = element("select", {}, ...all.map((option) => element("option", { value: option }, option || "not set")));
  input.value = current;
  input.onchange = () => setOrRemove(owner, name, input.value || undefined);
  return input;
}

function textList(owner, name) {
  const input = element("input", { value: (owner[name] || []).join(", "), placeholder: "separate with commas" });
  const parts = () => input.value.split(",").map((part) => part.trim()).filter(Boolean);
  input.oninput = () => setOrRemove(owner, name, parts().length ? parts() : undefined);
  return input;
}

function choices(owner, name, options, hint, path, faults) {
  const chosen = new Set(owner[name] || []);
  const all = [...new Set([...options, ...chosen])];
  const boxes = all.map((option) => {
    const box = element("input", { type: "checkbox", checked: chosen.has(option) });
    box.onchange = () => {
      if (box.checked) chosen.add(option);
      else chosen.delete(option);
      setOrRemove(owner, name, chosen.size ? all.filter((each) => chosen.has(each)) : undefined);
    };
    return element("label", {}, box, " ", option);
  });
  const list = element("div", { className: "choices", id: path }, ...boxes);
  const below = state.faults.filter((fault) => fault.path.startsWith(`${path}/`));
  const more = below.map((fault) => element("small", { className: "fault" }, fault.message));
  return element("fieldset", { className: "whole" }, element("legend", {}, label(name)), list, hint, ...faults, ...more);
}

function nested(property, owner, name, path) {
  const box = element("input", { type: "checkbox", checked: owner[name] !== undefined, id: path });
  const fields = element("div", { className: "fields" });
  const draw = () => fields.replaceChildren(...(owner[name] === undefined ? [] : objectFields(property, owner[name], path)));
  box.onchange = () => {
    setOrRemove(owner, name, box.checked ? emptyOf(property) : undefined);
    draw();
  };
  draw();
  const legend = element("legend", {}, element("label", {}, box, " ", label(name)));
  return element("fieldset", { className: "whole" }, legend, element("small", {}, property.description || ""), ...faultsAt(path), fields);
}

function objectFields(schema, owner, path) {
  const required = schema.required || [];
  return Object.entries(schema.properties).map(([name, property]) =>
    field(property, owner, name, `${path}/${name}`, required.includes(name)));
}

function newKey(owner, name, path) {
  const button = element("button", { type: "button" }, "Draw a new key");
  button.onclick = async () => {
    const drawn = await call("POST", "/api/keys");
    if (drawn.status !== 200) return fail(drawn);
    setOrRemove(owner, name, drawn.key_sha256);
    $(path).value = drawn.key_sha256;
    const done = element("button", { type: "button" }, "I have kept it");
    done.onclick = () => show("key");
    show("key",
      element("p", {}, `The API key of ${owner.name || "this customer"}. It is shown once; the document holds only its hash. It works once the document is in force.`),
      element("p", {}, element("code", {}, drawn.api_key)), done);
  };
  return button;
}

// ---- Lists ---------------------------------------------------------------

function summaryOf(item) {
  if (item.name) return [item.name, item.tier, item.kind, item.rank === undefined ? undefined : `rank ${item.rank}`].filter(Boolean).join(" · ");
  return [item.service, (item.methods || []).join(" "), item.path_prefix, item.idempotency, item.tier].filter(Boolean).join(" · ") || "new";
}

function listItem(schema, list, position, path, redraw) {
  const item = list[position];
  const here = `${path}/${position}`;
  const summary = element("summary", {}, summaryOf(item));
  const body = element("div", {});
  const made = element("details", { className: "item" }, summary, body);
  const faulty = state.faults.some((fault) => fault.path === here || fault.path.startsWith(`${here}/`));
  made.classList.toggle("faulty", faulty);
  const draw = () => {
    const move = (offset, word) => {
      const to = position + offset;
      const button = element("button", { type: "button", disabled: to < 0 || to >= list.length }, word);
      button.onclick = () => { [list[position], list[to]] = [list[to], list[position]]; edited(); redraw(to); };
      return button;
    };
    const remove = element("button", { type: "button" }, "Remove");
    remove.onclick = () => { list.splice(position, 1); edited(); redraw(); };
    const buttons = element("div", { className: "whole" }, move(-1, "Up"), " ", move(1, "Down"), " ", remove);
    body.replaceChildren(...faultsAt(here), element("div", { className: "fields" }, ...objectFields(schema, item, here), buttons));
  };
  made.ontoggle = () => { if (made.open) draw(); };
  body.addEventListener("input", () => { summary.textContent = summaryOf(item); });
  made.open = faulty;
  return made;
}

function section(name, property) {
  const schema = resolve(property.items);
  const list = state.draft[name] ??= [];
  const items = element("div", {});
  const filter = element("input", { type: "search", placeholder: `Find in ${list.length} ${name}` });
  const redraw = (open) => {
    const wanted = filter.value.toLowerCase();
    const drawn = list.map((item, position) => [item, position])
      .filter(([item]) => !wanted || summaryOf(item).toLowerCase().includes(wanted))
      .map(([, position]) => listItem(schema, list, position, `/${name}`, redraw));
    items.replaceChildren(...drawn);
    if (open !== undefined && drawn[open]) { drawn[open].open = true; drawn[open].querySelector("summary").focus(); }
  };
  filter.oninput = () => redraw();
  const add = element("button", { type: "button" }, `Add to ${name}`);
  add.onclick = () => { filter.value = ""; list.push(emptyOf(schema)); edited(); redraw(list.length - 1); };
  redraw();
  const find = list.length >= FILTER_FROM_ITEMS ? [filter] : [];
  return element("section", { id: name }, element("h2", {}, label(name)),
    element("p", { className: "hint" }, property.description || ""), ...faultsAt(`/${name}`), ...find, items, add);
}

function draw() {
  const lists = Object.entries(state.schema.properties).filter(([, property]) => property.type === "array");
  $("document").replaceChildren(...lists.map(([name, property]) => section(name, property)));
  const links = [...lists.map(([name]) => name), "state"];
  $("sections").replaceChildren(...links.map((name) => element("a", { href: `#${name}` }, label(name))));
  const version = state.drawn.version;
  $("version").textContent = version ? `Drawn from version ${version}` : "No document is in force yet";
}

// ---- Review and change ---------------------------------------------------

function fail(answer) {
  show("message", element("p", { className: "fault" }, answer.message || `The console answered ${answer.status}.`));
}

function showFaults(faults) {
  state.faults = faults;
  draw();
  const links = faults.map((fault) => {
    const link = element("a", { href: `#${fault.path}` }, fault.path);
    link.onclick = (event) => { event.preventDefault(); $(fault.path)?.focus(); };
    return element("li", {}, link, ` ${fault.message}`);
  });
  if (faults.length) show("message", element("p", { className: "fault" }, "The document cannot be put in force:"), element("ul", {}, ...links));
  else show("message");
}

function diffLines(diff) {
  const changed = diff.map((line, at) => (line.change === "same" ? -1 : at)).filter((at) => at >= 0);
  const near = (at) => changed.some((other) => Math.abs(other - at) <= CONTEXT_LINES);
  const sign = { same: " ", added: "+", removed: "-" };
  return diff.filter((_, at) => near(at))
    .map((line) => element("span", { className: line.change }, `${sign[line.change]} ${line.text}\n`));
}

async function review() {
  $("progress").textContent = "Checking";
  const answer = await call("POST", "/api/check", JSON.stringify(state.draft));
  $("progress").textContent = "";
  if (answer.status !== 200) return answer.faults ? showFaults(answer.faults) : fail(answer);
  showFaults(answer.faults);
  const lines = diffLines(answer.diff);
  const outdated = answer.version !== state.drawn.version;
  const notes = [
    lines.length ? "This is what would change." : "Nothing would change.",
    answer.faults.length ? "It cannot be put in force yet." : "",
    lines.length && answer.loses_comments ? "Comments and layout of the document in force are not kept." : "",
    outdated ? `Version ${answer.version} came in force after you drew this one.` : "",
  ];
  $("review-summary").textContent = notes.filter(Boolean).join(" ");
  $("diff").replaceChildren(...lines);
  $("yaml").textContent = answer.yaml;
  $("review").hidden = false;
  $("apply").disabled = answer.faults.length > 0 || lines.length === 0;
  if (!answer.faults.length) $("review").focus();
}

async function apply() {
  state.change ??= `console-${crypto.getRandomValues(new Uint32Array(4)).join("-")}`;
  $("apply").disabled = true;
  $("progress").textContent = "Putting it in force";
  const request = { expected: state.drawn.version, change: state.change, document: state.draft };
  const answer = await call("POST", "/api/apply", JSON.stringify(request));
  $("progress").textContent = "";
  switch (answer.outcome) {
    case "applied":
      await start(`Accepted as version ${answer.version}. The state below says where it is in force.`);
      break;
    case "lost":
      offerRedo(answer);
      break;
    case "invalid":
      showFaults(answer.faults);
      break;
    default:
      $("apply").disabled = false;
      fail(answer);
  }
}

function offerRedo(lost) {
  const redo = element("button", { type: "button" }, "Redo my edit on top of it");
  redo.onclick = async () => {
    const edit = { base: state.drawn.document, mine: state.draft, theirs: lost.in_force.document };
    const rebased = await call("POST", "/api/rebase", JSON.stringify(edit));
    if (rebased.status !== 200) return fail(rebased);
    state.drawn = lost.in_force;
    state.draft = rebased.document;
    state.faults = [];
    edited();
    draw();
    const both = rebased.conflicts.length ? ` Both changed ${rebased.conflicts.join(", ")}; your value was taken.` : "";
    show("message", element("p", {}, `Your edit is on top of version ${lost.in_force.version}.${both} Review it again.`));
  };
  show("message",
    element("p", { className: "fault" }, `Not accepted: version ${lost.current} came first, made by change ${lost.winner}.`), redo);
}

// ---- State, signing in, start --------------------------------------------

async function showState() {
  if ($("signed-in").hidden || document.hidden) return;
  const status = await call("GET", "/api/status");
  if (status.status !== 200) {
    $("state-summary").textContent = status.message || "";
    return;
  }
  const behind = status.processes.filter((process) => process.document_version < status.document_version).length;
  const voters = status.replicas.filter((replica) => replica.voter).length;
  $("state-summary").textContent = `Version ${status.document_version} is in force in ${status.processes.length - behind} of ${status.processes.length} processes. `
    + `Replica ${status.leader} leads in term ${status.term}; ${voters} of ${status.replicas.length} replicas vote. ${status.claims} claims are kept.`;
  const head = element("tr", {}, ...["Process", "Failure domain", "Target", "In progress", "Waiting", "Version"].map((word) => element("th", {}, word)));
  const rows = status.processes.map(({ member, document_version: version, load }) => element("tr", {},
    element("td", {}, member.name), element("td", {}, member.failure_domain),
    element("td", {}, member.target ? member.target.service + (member.target.leaving ? " (leaving)" : "") : ""),
    element("td", {}, load.running ? String(load.running) : ""),
    element("td", {}, Object.entries(load.waiting).map(([tier, count]) => `${count} ${tier}`).join(", ")),
    element("td", {}, String(version))));
  $("state-table").replaceChildren(head, ...rows);
}

function signedOut(message) {
  $("signed-in").hidden = true;
  $("sign-out").hidden = true;
  $("signed-out").hidden = false;
  $("sign-in-message").textContent = state.drawn ? message || "" : "";
  $("token").focus();
}

async function start(message) {
  const drawn = await call("GET", "/api/document");
  if (drawn.status === 401) return;
  $("signed-out").hidden = true;
  $("signed-in").hidden = false;
  $("sign-out").hidden = false;
  if (drawn.status !== 200) return fail(drawn);
  state.schema ??= await call("GET", "/api/schema");
  state.drawn = drawn;
  state.draft = structuredClone(drawn.document);
  state.faults = [];
  edited();
  $("progress").textContent = "";
  draw();
  if (message) show("message", element("p", {}, message));
  else show("message");
  await showState();
}

$("sign-in").onsubmit = async (event) => {
  event.preventDefault();
  const answer = await call("POST", "/sign-in", JSON.stringify({ token: $("token").value }));
  $("sign-in-message").textContent = answer.status === 200 ? "" : answer.message;
  if (answer.status !== 200) return;
  $("token").value = "";
  // What was typed before a sign-in ran out is still there.
  if (state.draft) {
    $("signed-out").hidden = true;
    $("signed-in").hidden = false;
    $("sign-out").hidden = false;
  } else await start();
};
$("sign-out").onclick = async () => { await call("POST", "/sign-out"); location.reload(); };
$("check").onclick = review;
$("apply").onclick = apply;
$("discard").onclick = () => start("Your edit is discarded.");
$("document").onsubmit = (event) => event.preventDefault();
document.addEventListener("keydown", (event) => {
  if (event.key === "Enter" && event.ctrlKey && !$("signed-in").hidden) review();
});
setInterval(showState, STATE_INTERVAL_MS);
start();
