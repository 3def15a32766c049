//! Master arbitration between two clients that change the settings.

use crate::managed::{
    connect, get, managed_gateway, runtime, send_set, set_request, update, GnmiClient,
};
use ironstair_gnmi::proto::gnmi_ext::{self, extension::Ext, Extension};
use serde_json::json;
use tonic::{Code, Status};

const ADVICE: &str = "/settings/advice";

/// Changes the advice as the master with the election id `high`, `low`.
async fn set_advice_as_master(
    client: &mut GnmiClient,
    (high, low): (u64, u64),
    advice_ms: u32,
) -> Result<(), Status> {
    let arbitration = gnmi_ext::MasterArbitration {
        role: None,
        election_id: Some(gnmi_ext::Uint128 { high, low }),
    };
    let extension = vec![Extension {
        ext: Some(Ext::MasterArbitration(arbitration)),
    }];
    let update = vec![update(ADVICE, json!(advice_ms))];
    send_set(client, set_request(update, extension)).await
}

#[test]
fn master_with_the_older_election_id_is_refused() {
    let (_gateway, at) = managed_gateway("case-6", &[]);
    runtime().block_on(async {
        let mut client = connect(at).await;
        set_advice_as_master(&mut client, (0, 5), 1).await.unwrap();
        set_advice_as_master(&mut client, (1, 0), 2).await.unwrap();

        let older = set_advice_as_master(&mut client, (0, 9), 3)
            .await
            .unwrap_err();

        assert_eq!(older.code(), Code::PermissionDenied);
        assert!(older.message().contains("lower than"), "{older:?}");
        set_advice_as_master(&mut client, (1, 0), 4).await.unwrap();
        assert_eq!(get(&mut client, ADVICE).await.unwrap(), json!(4));
    });
}
