//! Runs a fake booking service as a process.

use std::error::Error;
use std::net::SocketAddr;

use fakes::http::{AnnouncementSettings, BookingServer, BookingSettings};
use gumdrop::Options;

/// Command-line flags.
#[derive(Debug, Options)]
struct Flags {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "address to listen on", default = "127.0.0.1:0")]
    listen: String,
    #[options(
        no_short,
        help = "instance to announce to; may be repeated",
        meta = "ADDRESS"
    )]
    instance: Vec<SocketAddr>,
    #[options(no_short, help = "name of the endpoint", default = "booking-1")]
    name: String,
    #[options(no_short, help = "region", default = "local")]
    region: String,
    #[options(no_short, help = "data centre", default = "local")]
    data_centre: String,
    #[options(no_short, help = "number that grows with each start", default = "1")]
    incarnation: u64,
    #[options(no_short, help = "name of the service", default = "booking")]
    service: String,
    #[options(no_short, help = "duration of a call", default = "0")]
    call_ms: u64,
    #[options(no_short, help = "maximum of concurrent calls", default = "256")]
    calls_max: u32,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let flags = Flags::parse_args_default_or_exit();
    let settings = BookingSettings {
        address: flags.listen.parse()?,
        announcement: AnnouncementSettings {
            data_centre: flags.data_centre,
            incarnation: flags.incarnation,
            instances: flags.instance,
            name: flags.name,
            region: flags.region,
        },
        call_ms: flags.call_ms,
        calls_max: flags.calls_max,
        service: flags.service,
    };
    let service = BookingServer::spawn(settings).await?;
    println!("listening on {}", service.address());
    service.stopped().await;
    Ok(())
}
