//! Crashes of the stand-in of a target, and its new start at the same address.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::target::TargetStandIn;
use crate::target::handle_connection;

/// Time after which a crashed target starts anew.
const DOWN_TIME: Duration = Duration::from_millis(1_500);

/// Delay before a target tries again to listen at its address.
const REBIND_DELAY: Duration = Duration::from_millis(50);

impl TargetStandIn {
    /// Serves connections until the target crashes.
    pub(crate) fn listen(self: Arc<Self>, listener: TcpListener, pool: &str) {
        let (running, ended) = watch::channel(());
        self.lock().running = Some(running);
        let pool = pool.to_owned();
        tokio::spawn(async move {
            let mut crashed = ended.clone();
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = crashed.changed() => return,
                };
                let Ok((stream, _)) = accepted else {
                    return;
                };
                let served = handle_connection(self.clone(), stream, pool.clone());
                let mut crashed = ended.clone();
                tokio::spawn(async move {
                    tokio::select! {
                        () = served => {}
                        _ = crashed.changed() => {}
                    }
                });
            }
        });
    }

    /// Crashes the target: its connections end without an answer, and new ones are refused until it
    /// has started anew.
    pub(crate) fn crash(self: &Arc<Self>, pool: String) {
        let running = self.lock().running.take();
        if running.is_none() {
            return;
        }
        self.lock().log.crashes.push(Instant::now());
        drop(running);
        let target = self.clone();
        tokio::spawn(async move {
            sleep(DOWN_TIME).await;
            target.restart(&pool).await;
        });
    }

    /// Starts the target anew at its address after a crash.
    async fn restart(self: Arc<Self>, pool: &str) {
        loop {
            match TcpListener::bind(self.address()).await {
                Ok(listener) => {
                    self.clone().listen(listener, pool);
                    self.start_anew(pool);
                    return;
                }
                Err(_) => sleep(REBIND_DELAY).await,
            }
        }
    }
}
