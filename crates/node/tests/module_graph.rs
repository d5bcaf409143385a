//! The modules of the crate depend on each other in one direction.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// The crate root, as a module among the others.
const ROOT: &str = "crate";

type Graph = BTreeMap<String, BTreeSet<String>>;

/// All source files at or below a path.
fn files(path: &Path) -> Vec<PathBuf> {
    if path.is_file() {
        return vec![path.to_owned()];
    }
    let entries = std::fs::read_dir(path).unwrap().map(|entry| entry.unwrap().path());
    entries.flat_map(|entry| files(&entry)).collect()
}

/// The text without comments, which may name modules freely.
fn without_comments(text: &str) -> String {
    text.lines().map(|line| line.split("//").next().unwrap_or_default()).collect::<Vec<_>>().join("\n")
}

/// The first names of the items in `{a::x, b::{c, d}}`, or of one path.
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

/// What follows each `crate::` in the text, as the module that it names; any other item is the root's.
fn named_from_root(text: &str, modules: &BTreeSet<String>) -> BTreeSet<String> {
    let paths = text.split("crate::").skip(1);
    let names = paths.flat_map(first_names).filter(|name| !name.is_empty());
    names.map(|name| if modules.contains(&name) { name } else { ROOT.to_owned() }).collect()
}

/// Whether the root names an item of the module; that it declares it is no use.
fn is_named_in_root(text: &str, module: &str) -> bool {
    let is_part_of_name = |c: char| c.is_alphanumeric() || c == '_' || c == ':';
    let path = format!("{module}::");
    let mut places = text.match_indices(&path).map(|(at, _)| &text[..at]);
    places.any(|before| !before.ends_with(is_part_of_name))
}

/// The code of one file below a module, in which every path to the crate's root begins with `crate::`.
fn code(module: &Path, file: &Path) -> String {
    let text = without_comments(&std::fs::read_to_string(file).unwrap());
    let is_top = file == module || file.file_name().is_some_and(|name| name == "mod.rs");
    text.replace(if is_top { "super::" } else { "super::super::" }, "crate::")
}

/// Which modules at the top of the crate name items of which others.
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

/// The modules that are left once those that depend on nothing that is left are taken away, again and again: those in a
/// circle, and those that depend on one.
fn entangled(mut graph: Graph) -> Graph {
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

/// Guards the order of the modules: a circle of them can only be understood, tested and changed as one.
#[test]
fn no_module_depends_on_itself_through_others() {
    let left = entangled(module_graph(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src")));
    assert!(left.is_empty(), "these modules form a circle, or depend on one: {left:#?}");
}

/// Guards the guard: it sees the uses that there are.
#[test]
fn the_uses_of_modules_are_seen() {
    let graph = module_graph(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    let uses = |module: &str, used: &str| graph[module].contains(used);
    assert!(uses("driver", "input") && uses("input", "upstream") && uses("upstream", "body"));
    assert!(uses(ROOT, "driver") && uses("process", ROOT) && uses("discovery", "server_list"));
    assert!(graph.values().map(BTreeSet::len).sum::<usize>() > graph.len(), "{graph:#?}");
}

/// Guards the guard: it finds a circle, and only that.
#[test]
fn a_circle_is_found() {
    let straight = [("a", &["b", "c"][..]), ("b", &["c"]), ("c", &[])];
    assert!(entangled(graph(&straight)).is_empty());
    let circle = [("a", &["b"][..]), ("b", &["c"]), ("c", &["b", "d"]), ("d", &[])];
    let left: Vec<String> = entangled(graph(&circle)).into_keys().collect();
    assert_eq!(left, ["a", "b", "c"]);
}

/// Guards the guard: grouped uses count as each of theirs, comments not at all.
#[test]
fn uses_are_read_in_all_their_forms() {
    let modules = ["body", "input", "room"].map(str::to_owned).into();
    let of = |text: &str| named_from_root(&without_comments(text), &modules).into_iter().collect::<Vec<_>>();
    assert_eq!(of("use crate::body::{A, B};\nlet x = crate::room::new();"), ["body", "room"]);
    assert_eq!(of("use crate::{body::{A, input}, room, Node};"), ["body", ROOT, "room"]);
    assert!(of("// use crate::body::A;\nuse std::io; /// crate::room").is_empty());
}
