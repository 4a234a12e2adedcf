//! Stand-ins of a deployment for the cases of `review/`: `standin-2 CASE FOLDER`.

mod cases;
mod http;
mod json;
mod state;
mod world;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let folder = std::path::PathBuf::from(args.get(2).expect("usage: standin-2 CASE FOLDER"));
    // Ends in time whatever happens: the script then ends the controllers.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(112));
        std::process::exit(2);
    });
    cases::run(args.get(1).map_or("", |a| a.as_str()), &folder);
}
