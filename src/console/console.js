// The script of the console's page: renders forms from the schema and edits the document.
"use strict";

const STATUS_INTERVAL_MS = 2000;
const DIFF_CONTEXT_LINES = 3;
// Shorter lists have no filter.
const MIN_ITEMS_FOR_FILTER = 12;

// `loaded` is the version that the draft is based on. `change` identifies the draft in apply
// requests, so that a retry is applied once; it is reset by every edit.
const state = { schema: null, loaded: null, draft: null, errors: [], change: null };
const $ = (id) => document.getElementById(id);

// ---- Helpers -------------------------------------------------------------

function element(tag, properties, ...children) {
  const node = Object.assign(document.createElement(tag), properties);
  node.append(...children);
  return node;
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
  if (response.status === 401 && path !== "/sign-in") showSignIn(value.message);
  return { ...value, status: response.status };
}

// ---- The schema ----------------------------------------------------------

function resolve(schema) {
  if (!schema.$ref) return schema;
  const target = state.schema.definitions[schema.$ref.split("/").pop()];
  return { ...target, ...schema };
}

// A property refers to a list of the document if it has the list's name, in the plural or in
// the singular.
function referencedList(name) {
  const lists = Object.keys(state.schema.properties);
  return lists.find((list) => list === name || list === `${name}s`);
}

function itemNames(list) {
  return (state.draft[list] || []).map((item) => item.name).filter(Boolean);
}

// A new object with the required properties.
function defaultObject(schema) {
  const object = {};
  for (const name of schema.required || []) {
    const property = resolve(schema.properties[name]);
    object[name] = { array: [], object: {}, integer: property.minimum ?? 0, boolean: false }[property.type]
      ?? property.enum?.[0] ?? "";
  }
  return object;
}

// ---- Fields --------------------------------------------------------------

function setOrDelete(owner, name, value) {
  if (value === undefined) delete owner[name];
  else owner[name] = value;
  markEdited();
}

// The draft must be reviewed again after each edit.
function markEdited() {
  state.change = null;
  $("apply").disabled = true;
  $("review").hidden = true;
  $("progress").textContent = "Not reviewed yet";
}

function labelText(name) {
  const words = name.replace(/_ms$/, " (ms)").replace(/_per_s$/, " a second").replaceAll("_", " ");
  return words[0].toUpperCase() + words.slice(1);
}

function errorsAt(path) {
  const matching = state.errors.filter((error) => error.path === path);
  return matching.map((error) => element("small", { className: "error" }, error.message));
}

function field(schema, owner, name, path, isRequired) {
  const property = resolve(schema);
  const list = referencedList(name);
  // The description of a name's syntax is not needed where names are selected.
  const description = list && property.pattern ? "" : property.description || "";
  const hint = element("small", {}, description);
  const errors = errorsAt(path);
  const withLabel = (control) => {
    control.id = path;
    return element("label", { className: "field" }, labelText(name), control, hint, ...errors);
  };
  switch (true) {
    case property.type === "object":
      return optionalObject(property, owner, name, path);
    case property.type === "array" && Boolean(list):
      return checkboxGroup(owner, name, itemNames(list), hint, path, errors);
    case property.type === "array":
      return withLabel(textList(owner, name));
    case property.type === "boolean":
      return withLabel(checkbox(owner, name, property));
    case Boolean(property.enum):
      return withLabel(select(owner, name, property.enum, isRequired));
    case Boolean(list):
      return withLabel(select(owner, name, itemNames(list), isRequired));
    case property.type === "integer":
      return withLabel(number(owner, name, property));
    case name === "key_sha256":
      return element("div", { className: "full-width" }, withLabel(text(owner, name, property, isRequired)), newKeyButton(owner, name, path));
    default:
      return withLabel(text(owner, name, property, isRequired));
  }
}

function text(owner, name, property, isRequired) {
  const input = element("input", { value: owner[name] ?? "", placeholder: property.default ?? "" });
  input.oninput = () => setOrDelete(owner, name, input.value || (isRequired ? "" : undefined));
  return input;
}

function number(owner, name, property) {
  const input = element("input", {
    type: "number", min: property.minimum, max: property.maximum, step: 1,
    value: owner[name] ?? "", placeholder: property.default ?? "",
  });
  input.oninput = () => setOrDelete(owner, name, input.value === "" ? undefined : Number(input.value));
  return input;
}

function checkbox(owner, name, property) {
  const input = element("input", { type: "checkbox", checked: owner[name] ?? property.default ?? false });
  input.onchange = () => setOrDelete(owner, name, input.checked);
  return input;
}

function select(owner, name, options, isRequired) {
  const current = owner[name] ?? "";
  const missing = current && !options.includes(current) ? [current] : [];
  const values = [...(isRequired && current ? [] : [""]), ...missing, ...options];
  const input = element("select", {}, ...values.map((option) => element("option", { value: option }, option || "not set")));
  input.value = current;
  input.onchange = () => setOrDelete(owner, name, input.value || undefined);
  return input;
}

function textList(owner, name) {
  const input = element("input", { value: (owner[name] || []).join(", "), placeholder: "separate with commas" });
  const parts = () => input.value.split(",").map((part) => part.trim()).filter(Boolean);
  input.oninput = () => setOrDelete(owner, name, parts().length ? parts() : undefined);
  return input;
}

function checkboxGroup(owner, name, options, hint, path, errors) {
  const selected = new Set(owner[name] || []);
  const values = [...new Set([...options, ...selected])];
  const boxes = values.map((option) => {
    const box = element("input", { type: "checkbox", checked: selected.has(option) });
    box.onchange = () => {
      if (box.checked) selected.add(option);
      else selected.delete(option);
      setOrDelete(owner, name, selected.size ? values.filter((value) => selected.has(value)) : undefined);
    };
    return element("label", {}, box, " ", option);
  });
  const list = element("div", { className: "choices", id: path }, ...boxes);
  const matching = state.errors.filter((error) => error.path.startsWith(`${path}/`));
  const itemErrors = matching.map((error) => element("small", { className: "error" }, error.message));
  return element("fieldset", { className: "full-width" }, element("legend", {}, labelText(name)), list, hint, ...errors, ...itemErrors);
}

// An object whose fields are shown if its checkbox is set.
function optionalObject(property, owner, name, path) {
  const box = element("input", { type: "checkbox", checked: owner[name] !== undefined, id: path });
  const fields = element("div", { className: "fields" });
  const render = () => fields.replaceChildren(...(owner[name] === undefined ? [] : objectFields(property, owner[name], path)));
  box.onchange = () => {
    setOrDelete(owner, name, box.checked ? defaultObject(property) : undefined);
    render();
  };
  render();
  const legend = element("legend", {}, element("label", {}, box, " ", labelText(name)));
  return element("fieldset", { className: "full-width" }, legend, element("small", {}, property.description || ""), ...errorsAt(path), fields);
}

function objectFields(schema, owner, path) {
  const required = schema.required || [];
  return Object.entries(schema.properties).map(([name, property]) =>
    field(property, owner, name, `${path}/${name}`, required.includes(name)));
}

function newKeyButton(owner, name, path) {
  const button = element("button", { type: "button" }, "Draw a new key");
  button.onclick = async () => {
    const response = await call("POST", "/api/keys");
    if (response.status !== 200) return showError(response);
    setOrDelete(owner, name, response.key_sha256);
    $(path).value = response.key_sha256;
    const confirm = element("button", { type: "button" }, "I have kept it");
    confirm.onclick = () => show("key");
    show("key",
      element("p", {}, `The API key of ${owner.name || "this customer"}. It is shown once; the document holds only its hash. It works once the document is in force.`),
      element("p", {}, element("code", {}, response.api_key)), confirm);
  };
  return button;
}

// ---- Lists ---------------------------------------------------------------

function itemSummary(item) {
  if (item.name) return [item.name, item.tier, item.kind, item.rank === undefined ? undefined : `rank ${item.rank}`].filter(Boolean).join(" · ");
  return [item.service, (item.methods || []).join(" "), item.path_prefix, item.idempotency, item.tier].filter(Boolean).join(" · ") || "new";
}

function listItem(schema, list, position, path, renderList) {
  const item = list[position];
  const itemPath = `${path}/${position}`;
  const summary = element("summary", {}, itemSummary(item));
  const body = element("div", {});
  const details = element("details", { className: "item" }, summary, body);
  const isInvalid = state.errors.some((error) => error.path === itemPath || error.path.startsWith(`${itemPath}/`));
  details.classList.toggle("invalid", isInvalid);
  const render = () => {
    const moveButton = (offset, caption) => {
      const to = position + offset;
      const button = element("button", { type: "button", disabled: to < 0 || to >= list.length }, caption);
      button.onclick = () => { [list[position], list[to]] = [list[to], list[position]]; markEdited(); renderList(to); };
      return button;
    };
    const remove = element("button", { type: "button" }, "Remove");
    remove.onclick = () => { list.splice(position, 1); markEdited(); renderList(); };
    const buttons = element("div", { className: "full-width" }, moveButton(-1, "Up"), " ", moveButton(1, "Down"), " ", remove);
    body.replaceChildren(...errorsAt(itemPath), element("div", { className: "fields" }, ...objectFields(schema, item, itemPath), buttons));
  };
  details.ontoggle = () => { if (details.open) render(); };
  body.addEventListener("input", () => { summary.textContent = itemSummary(item); });
  details.open = isInvalid;
  return details;
}

function section(name, property) {
  const schema = resolve(property.items);
  const list = state.draft[name] ??= [];
  const items = element("div", {});
  const filter = element("input", { type: "search", placeholder: `Find in ${list.length} ${name}` });
  const renderList = (open) => {
    const query = filter.value.toLowerCase();
    const shown = list.map((item, position) => [item, position])
      .filter(([item]) => !query || itemSummary(item).toLowerCase().includes(query))
      .map(([, position]) => listItem(schema, list, position, `/${name}`, renderList));
    items.replaceChildren(...shown);
    if (open !== undefined && shown[open]) { shown[open].open = true; shown[open].querySelector("summary").focus(); }
  };
  filter.oninput = () => renderList();
  const add = element("button", { type: "button" }, `Add to ${name}`);
  add.onclick = () => { filter.value = ""; list.push(defaultObject(schema)); markEdited(); renderList(list.length - 1); };
  renderList();
  const filters = list.length >= MIN_ITEMS_FOR_FILTER ? [filter] : [];
  return element("section", { id: name }, element("h2", {}, labelText(name)),
    element("p", { className: "hint" }, property.description || ""), ...errorsAt(`/${name}`), ...filters, items, add);
}

function renderDocument() {
  const lists = Object.entries(state.schema.properties).filter(([, property]) => property.type === "array");
  $("document").replaceChildren(...lists.map(([name, property]) => section(name, property)));
  const links = [...lists.map(([name]) => name), "state"];
  $("sections").replaceChildren(...links.map((name) => element("a", { href: `#${name}` }, labelText(name))));
  const version = state.loaded.version;
  $("version").textContent = version ? `Drawn from version ${version}` : "No document is in force yet";
}

// ---- Review and change ---------------------------------------------------

function showError(response) {
  show("message", element("p", { className: "error" }, response.message || `The console answered ${response.status}.`));
}

function showValidationErrors(errors) {
  state.errors = errors;
  renderDocument();
  const links = errors.map((error) => {
    const link = element("a", { href: `#${error.path}` }, error.path);
    link.onclick = (event) => { event.preventDefault(); $(error.path)?.focus(); };
    return element("li", {}, link, ` ${error.message}`);
  });
  if (errors.length) show("message", element("p", { className: "error" }, "The document cannot be put in force:"), element("ul", {}, ...links));
  else show("message");
}

function diffLines(diff) {
  const changed = diff.map((line, at) => (line.change === "same" ? -1 : at)).filter((at) => at >= 0);
  const isShown = (at) => changed.some((other) => Math.abs(other - at) <= DIFF_CONTEXT_LINES);
  const sign = { same: " ", added: "+", removed: "-" };
  return diff.filter((_, at) => isShown(at))
    .map((line) => element("span", { className: line.change }, `${sign[line.change]} ${line.text}\n`));
}

async function review() {
  $("progress").textContent = "Checking";
  const response = await call("POST", "/api/check", JSON.stringify(state.draft));
  $("progress").textContent = "";
  if (response.status !== 200) return response.faults ? showValidationErrors(response.faults) : showError(response);
  showValidationErrors(response.faults);
  const lines = diffLines(response.diff);
  const outdated = response.version !== state.loaded.version;
  const notes = [
    lines.length ? "This is what would change." : "Nothing would change.",
    response.faults.length ? "It cannot be put in force yet." : "",
    lines.length && response.loses_comments ? "Comments and layout of the document in force are not kept." : "",
    outdated ? `Version ${response.version} came in force after you drew this one.` : "",
  ];
  $("review-summary").textContent = notes.filter(Boolean).join(" ");
  $("diff").replaceChildren(...lines);
  $("yaml").textContent = response.yaml;
  $("review").hidden = false;
  $("apply").disabled = response.faults.length > 0 || lines.length === 0;
  if (!response.faults.length) $("review").focus();
}

async function apply() {
  state.change ??= `console-${crypto.getRandomValues(new Uint32Array(4)).join("-")}`;
  $("apply").disabled = true;
  $("progress").textContent = "Putting it in force";
  const request = { expected: state.loaded.version, change: state.change, document: state.draft };
  const response = await call("POST", "/api/apply", JSON.stringify(request));
  $("progress").textContent = "";
  switch (response.outcome) {
    case "applied":
      await load(`Accepted as version ${response.version}. The state below says where it is in force.`);
      break;
    case "lost":
      offerRebase(response);
      break;
    case "invalid":
      showValidationErrors(response.faults);
      break;
    default:
      $("apply").disabled = false;
      showError(response);
  }
}

// Another change was applied first: offers to rebase the draft onto it.
function offerRebase(lost) {
  const button = element("button", { type: "button" }, "Redo my edit on top of it");
  button.onclick = async () => {
    const edit = { base: state.loaded.document, mine: state.draft, theirs: lost.in_force.document };
    const rebased = await call("POST", "/api/rebase", JSON.stringify(edit));
    if (rebased.status !== 200) return showError(rebased);
    state.loaded = lost.in_force;
    state.draft = rebased.document;
    state.errors = [];
    markEdited();
    renderDocument();
    const conflicts = rebased.conflicts.length ? ` Both changed ${rebased.conflicts.join(", ")}; your value was taken.` : "";
    show("message", element("p", {}, `Your edit is on top of version ${lost.in_force.version}.${conflicts} Review it again.`));
  };
  show("message",
    element("p", { className: "error" }, `Not accepted: version ${lost.current} came first, made by change ${lost.winner}.`), button);
}

// ---- Status, sign-in and loading -----------------------------------------

async function refreshStatus() {
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

function showSignIn(message) {
  $("signed-in").hidden = true;
  $("sign-out").hidden = true;
  $("signed-out").hidden = false;
  $("sign-in-message").textContent = state.loaded ? message || "" : "";
  $("token").focus();
}

async function load(message) {
  const loaded = await call("GET", "/api/document");
  if (loaded.status === 401) return;
  $("signed-out").hidden = true;
  $("signed-in").hidden = false;
  $("sign-out").hidden = false;
  if (loaded.status !== 200) return showError(loaded);
  state.schema ??= await call("GET", "/api/schema");
  state.loaded = loaded;
  state.draft = structuredClone(loaded.document);
  state.errors = [];
  markEdited();
  $("progress").textContent = "";
  renderDocument();
  if (message) show("message", element("p", {}, message));
  else show("message");
  await refreshStatus();
}

$("sign-in").onsubmit = async (event) => {
  event.preventDefault();
  const response = await call("POST", "/sign-in", JSON.stringify({ token: $("token").value }));
  $("sign-in-message").textContent = response.status === 200 ? "" : response.message;
  if (response.status !== 200) return;
  $("token").value = "";
  // A draft from before the session expired is kept.
  if (state.draft) {
    $("signed-out").hidden = true;
    $("signed-in").hidden = false;
    $("sign-out").hidden = false;
  } else await load();
};
$("sign-out").onclick = async () => { await call("POST", "/sign-out"); location.reload(); };
$("check").onclick = review;
$("apply").onclick = apply;
$("discard").onclick = () => load("Your edit is discarded.");
$("document").onsubmit = (event) => event.preventDefault();
document.addEventListener("keydown", (event) => {
  if (event.key === "Enter" && event.ctrlKey && !$("signed-in").hidden) review();
});
setInterval(refreshStatus, STATUS_INTERVAL_MS);
load();
