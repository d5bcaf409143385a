//! Checks that the dependencies between the top modules of the crate have no cycle.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Name of the crate root in the graph.
const ROOT: &str = "crate";

type Graph = BTreeMap<String, BTreeSet<String>>;

/// Returns all source files at or below a path.
fn files(path: &Path) -> Vec<PathBuf> {
    if path.is_file() {
        return vec![path.to_owned()];
    }
    let entries = std::fs::read_dir(path).unwrap().map(|entry| entry.unwrap().path());
    entries.flat_map(|entry| files(&entry)).collect()
}

/// Returns the text without comments, whose module names are no dependencies.
fn without_comments(text: &str) -> String {
    text.lines().map(|line| line.split("//").next().unwrap_or_default()).collect::<Vec<_>>().join("\n")
}

/// Returns the first segments of the paths in `{a::x, b::{c, d}}`, or of a single path.
fn first_names(path: &str) -> Vec<String> {
    let name = |path: &str| -> String {
        path.trim_start().chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect()
    };
    let Some(group) = path.strip_prefix('{') else { return vec![name(path)] };
    let (mut depth, mut names) = (1, vec![name(group)]);
    for (at, c) in group.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if depth == 1 => names.push(name(&group[at + 1..])),
            _ => {}
        }
        if depth == 0 {
            break;
        }
    }
    names
}

/// Returns the module named by each `crate::` path in the text; any other item belongs to the root.
fn named_from_root(text: &str, modules: &BTreeSet<String>) -> BTreeSet<String> {
    let paths = text.split("crate::").skip(1);
    let names = paths.flat_map(first_names).filter(|name| !name.is_empty());
    names.map(|name| if modules.contains(&name) { name } else { ROOT.to_owned() }).collect()
}

/// Returns whether the root uses an item of the module. The declaration of the module does not count.
fn is_named_in_root(text: &str, module: &str) -> bool {
    let is_part_of_name = |c: char| c.is_alphanumeric() || c == '_' || c == ':';
    let path = format!("{module}::");
    let mut places = text.match_indices(&path).map(|(at, _)| &text[..at]);
    places.any(|before| !before.ends_with(is_part_of_name))
}

/// Returns the code of one file of a module, with every path to the crate root starting with `crate::`.
fn code(module: &Path, file: &Path) -> String {
    let text = without_comments(&std::fs::read_to_string(file).unwrap());
    let is_top = file == module || file.file_name().is_some_and(|name| name == "mod.rs");
    text.replace(if is_top { "super::" } else { "super::super::" }, "crate::")
}

/// Returns which top modules of the crate use items of which others.
fn module_graph(source: &Path) -> Graph {
    let root = without_comments(&std::fs::read_to_string(source.join("lib.rs")).unwrap());
    let declared = root.lines().filter_map(|line| line.trim_start_matches("pub ").strip_prefix("mod "));
    let modules: BTreeSet<String> =
        declared.filter_map(|line| line.strip_suffix(';')).map(str::to_owned).collect();
    let mut used_in_root = named_from_root(&root, &modules);
    used_in_root.extend(modules.iter().filter(|module| is_named_in_root(&root, module)).cloned());
    used_in_root.remove(ROOT);
    let mut graph = Graph::from([(ROOT.to_owned(), used_in_root)]);
    for module in &modules {
        let (file, folder) = (source.join(format!("{module}.rs")), source.join(module));
        let path = if file.is_file() { file } else { folder };
        let text: String = files(&path).iter().map(|file| code(&path, file)).collect();
        let mut uses = named_from_root(&text, &modules);
        uses.remove(module);
        graph.insert(module.clone(), uses);
    }
    graph
}

/// Repeatedly removes the modules without dependencies on a remaining module. Returns the rest: the modules in a cycle,
/// and those that depend on one.
fn remove_acyclic(mut graph: Graph) -> Graph {
    loop {
        let free: Vec<String> =
            graph.iter().filter(|(_, uses)| uses.is_empty()).map(|(module, _)| module.clone()).collect();
        if free.is_empty() {
            return graph;
        }
        for module in free {
            graph.remove(&module);
            for uses in graph.values_mut() {
                uses.remove(&module);
            }
        }
    }
}

fn graph(edges: &[(&str, &[&str])]) -> Graph {
    let set = |uses: &[&str]| uses.iter().map(|name| (*name).to_owned()).collect();
    edges.iter().map(|(module, uses)| ((*module).to_owned(), set(uses))).collect()
}

/// Guards the layering of the modules: those in a cycle can only be understood, tested and changed together.
#[test]
fn the_module_graph_has_no_cycle() {
    let left = remove_acyclic(module_graph(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src")));
    assert!(left.is_empty(), "these modules form a cycle, or depend on one: {left:#?}");
}

/// Guards the check itself: it finds the existing dependencies.
#[test]
fn existing_dependencies_are_found() {
    let graph = module_graph(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    let uses = |module: &str, used: &str| graph[module].contains(used);
    assert!(uses("driver", "input") && uses("input", "upstream") && uses("upstream", "body"));
    assert!(uses(ROOT, "driver") && uses("process", ROOT) && uses("discovery", "server_list"));
    assert!(graph.values().map(BTreeSet::len).sum::<usize>() > graph.len(), "{graph:#?}");
}

/// Guards the check itself: it finds a cycle, and nothing in a graph without one.
#[test]
fn a_cycle_is_found() {
    let acyclic = [("a", &["b", "c"][..]), ("b", &["c"]), ("c", &[])];
    assert!(remove_acyclic(graph(&acyclic)).is_empty());
    let cyclic = [("a", &["b"][..]), ("b", &["c"]), ("c", &["b", "d"]), ("d", &[])];
    let left: Vec<String> = remove_acyclic(graph(&cyclic)).into_keys().collect();
    assert_eq!(left, ["a", "b", "c"]);
}

/// Guards the check itself: grouped imports count one by one, and comments are ignored.
#[test]
fn all_forms_of_imports_are_recognized() {
    let modules = ["body", "input", "room"].map(str::to_owned).into();
    let of = |text: &str| named_from_root(&without_comments(text), &modules).into_iter().collect::<Vec<_>>();
    assert_eq!(of("use crate::body::{A, B};\nlet x = crate::room::new();"), ["body", "room"]);
    assert_eq!(of("use crate::{body::{A, input}, room, Node};"), ["body", ROOT, "room"]);
    assert!(of("// use crate::body::A;\nuse std::io; /// crate::room").is_empty());
}
